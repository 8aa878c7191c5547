package mglistener

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Conn is an accepted connection that can be ended between two requests without losing
// a request that has arrived, and that limits the time in which a request arrives.
type Conn struct {
	*net.TCPConn
	received atomic.Bool // bytes were read since the last BeginIdle

	mu              sync.Mutex
	timeouts        Timeouts
	onTimeout       func()         // called when a request doesn't arrive in time; may be nil
	ending          bool           // EndIdle has been called, and nothing was read since
	receiving       bool           // a request is being received
	receivingSince  mgclock.Millis // of the process clock
	aborted         bool           // the request that is being received, by AbortRequest
	readDeadline    time.Time      // as set by the connection's user
	requestDeadline time.Time      // of the request that is being received
	writeDeadline   time.Time      // as set by the connection's user
	writeLimitedAt  time.Time      // when the timeout for writing was last started
	answered        bool           // bytes were written while a request was being received
	lingered        bool           // a close doesn't linger, or no longer
	resets          bool           // a close resets the connection; see SetLinger
}

// ConnOf returns the Conn of a connection that a Listener accepted, with or without TLS. It
// returns nil for any other connection.
func ConnOf(conn net.Conn) *Conn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	accepted, _ := conn.(*Conn)
	return accepted
}

// BeginIdle records that the connection now waits for its next request.
func (c *Conn) BeginIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received.Store(false)
	c.receiving = false
	if !c.aborted {
		c.requestDeadline = time.Time{}
	}
}

// EndIdle makes the next Read, or one in progress, fail, unless bytes have arrived since the
// last BeginIdle: then these are read, and the connection goes on.
func (c *Conn) EndIdle() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received.Load() {
		return nil
	}
	c.ending = true
	c.readDeadline = time.Now()
	return c.applyReadDeadline()
}

// Read reads from the connection. If the connection is idle and its deadline has expired, by
// EndIdle or otherwise, it returns the bytes that have arrived, or os.ErrDeadlineExceeded
// where there are none.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.received.Load() {
		// An expired deadline hides bytes that are in the socket's buffer. Closing the socket
		// would discard them and reset the connection.
		n, err = c.readBuffered(p, err)
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.reportTimeout()
	}
	if n > 0 && !c.received.Load() {
		if markErr := c.markReceived(); err == nil {
			err = markErr
		}
	}
	return n, err
}

// markReceived records that bytes were read, and withdraws an EndIdle.
func (c *Conn) markReceived() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received.Store(true)
	c.beginReceiving()
	c.requestDeadline = deadlineIn(c.timeouts.Head)
	if c.ending {
		c.ending = false
		c.readDeadline = time.Time{}
	} else if c.requestDeadline.IsZero() {
		return nil
	}
	return c.applyReadDeadline()
}

// readBuffered reads from the socket's buffer without waiting. It returns ifEmpty where the
// buffer is empty, and io.EOF at the end of the stream.
func (c *Conn) readBuffered(p []byte, ifEmpty error) (int, error) {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var readErr error
	err = raw.Control(func(fd uintptr) {
		n, readErr = syscall.Read(int(fd), p)
		for errors.Is(readErr, syscall.EINTR) {
			n, readErr = syscall.Read(int(fd), p)
		}
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, syscall.EAGAIN):
		return 0, ifEmpty
	case readErr != nil:
		return 0, os.NewSyscallError("read", readErr)
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	default:
		return n, nil
	}
}
