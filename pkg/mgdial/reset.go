package mgdial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errReset ends a response whose connection was reset. A reset is reported to one call only: where a
// write gets it, a read sees an ordinary end.
var errReset = fmt.Errorf("the connection was reset while the request was being written, the response may be cut: "+
	"find out whether the request ran before repeating it: %w", syscall.ECONNRESET)

// writeEndTimeout limits the wait for the end of a request that is still being written when the server has
// closed the connection. If the server doesn't read on, the next bytes are reset within a round trip.
const writeEndTimeout = 100 * time.Millisecond

// A resetConn is a connection of which a read returns an ordinary end only if the peer has closed it and has
// read the request, or reads on (RFC 9112, 9.6). Writes don't overlap.
type resetConn struct {
	net.Conn
	idle      chan struct{} // holds a token while no write is in progress
	hasFailed atomic.Bool   // a write
	written   chan struct{} // closed when the request has been written, or can't be
	endOnce   sync.Once     // closes written
}

// newResetConn returns conn with that property. traceWrites calls endRequest when the request has been written.
func newResetConn(conn net.Conn) *resetConn {
	c := &resetConn{
		Conn:    conn,
		idle:    make(chan struct{}, 1),
		written: make(chan struct{}),
	}
	c.idle <- struct{}{}
	return c
}

// endRequest records that nothing more of the request will be written.
func (c *resetConn) endRequest() { c.endOnce.Do(func() { close(c.written) }) }

// NetConn returns the connection itself, as that of crypto/tls does.
func (c *resetConn) NetConn() net.Conn { return c.Conn }

// Write writes to the connection. It is the only way to write to it, so that no failure is missed.
func (c *resetConn) Write(p []byte) (int, error) {
	<-c.idle
	defer func() { c.idle <- struct{}{} }()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.hasFailed.Store(true)
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

// wasReset reports whether a connection whose end was read was reset, or is reset since the server doesn't
// read on.
func (c *resetConn) wasReset() bool {
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case <-c.written:
		select {
		case <-c.idle:
			c.idle <- struct{}{}
			return c.hasFailed.Load()
		case <-timer.C:
		}
	case <-timer.C:
	}
	return c.hasFailed.Load() || isEnded(c.Conn)
}

// traceWrites returns a transport that tells the resetConns of inner when their requests have been written.
func traceWrites(inner http.RoundTripper) http.RoundTripper {
	return &writeTracer{
		RoundTripper: inner,
	}
}

// writeTracer is the transport of traceWrites.
type writeTracer struct {
	http.RoundTripper
}

// RoundTrip sends a request.
func (w *writeTracer) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[resetConn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used.Store(resetConnOf(info.Conn)) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if conn := used.Load(); conn != nil {
				conn.endRequest()
			}
		},
	}
	return w.RoundTripper.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// resetConnOf returns the resetConn in a connection, or nil.
func resetConnOf(conn net.Conn) *resetConn {
	for {
		if found, ok := conn.(*resetConn); ok {
			return found
		}
		wrapper, ok := conn.(wrapperConn)
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

// CloseIdleConnections closes the pooled connections; see http.Client.
func (w *writeTracer) CloseIdleConnections() {
	client := http.Client{
		Transport: w.RoundTripper,
	}
	client.CloseIdleConnections()
}

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
