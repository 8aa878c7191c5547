package mgdial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// errReset ends a response whose connection was reset. A reset is reported to one call only: where a
// write gets it, a read sees an ordinary end.
var errReset = fmt.Errorf("the connection was reset while the request was being written, the response may be cut: "+
	"find out whether the request ran before repeating it: %w", syscall.ECONNRESET)

// writeEndTimeout limits the wait for a write in progress, which a reset ends at once, on systems that
// don't report the state of a connection.
const writeEndTimeout = 100 * time.Millisecond

// A resetConn is a connection of which a read returns an ordinary end only if the peer has closed it. One
// goroutine reads and one writes.
type resetConn struct {
	net.Conn
	idle      chan struct{} // holds a token while no write is in progress, which guards the fields below
	hasFailed bool          // a write
	isReset   bool          // by the first failed write
}

// newResetConn returns conn with that property.
func newResetConn(conn net.Conn) *resetConn {
	c := &resetConn{
		Conn: conn,
		idle: make(chan struct{}, 1),
	}
	c.idle <- struct{}{}
	return c
}

// NetConn returns the connection itself, as that of crypto/tls does.
func (c *resetConn) NetConn() net.Conn { return c.Conn }

// Write writes to the connection. It is the only way to write to it, so that no failure is missed.
func (c *resetConn) Write(p []byte) (int, error) {
	<-c.idle
	defer func() { c.idle <- struct{}{} }()
	n, err := c.Conn.Write(p)
	if err != nil && !c.hasFailed {
		c.hasFailed = true
		c.isReset = !isClosedBeforeReset(c.Conn, err)
	}
	return n, err
}

// Read reads from the connection.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.wasReset() {
		err = errReset
	}
	return n, err
}

// wasReset reports whether a connection that has ended was reset before its peer closed it.
func (c *resetConn) wasReset() bool {
	state, err := stateOf(c.Conn)
	if err == nil && state == peerClosed {
		return false
	}
	isClosed := errors.Is(err, net.ErrClosed) // by this process
	var timeout <-chan time.Time
	if !isClosed && state != ended {
		timer := time.NewTimer(writeEndTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-c.idle:
		defer func() { c.idle <- struct{}{} }()
		return c.isReset || isClosed && !c.hasFailed
	case <-timeout:
		return false
	}
}

// connState is the state of a connection.
type connState int

const (
	unknownState connState = iota
	peerClosed             // the peer has closed it and not reset it
	ended                  // both ends have closed it, or it was reset
)

// detectResets returns a dial function whose connections tell a reset from a close.
func detectResets(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newResetConn(conn), nil
	}
}
