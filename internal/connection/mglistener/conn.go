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
)

// A Conn is an accepted connection that can be ended between two requests without losing
// a request that has arrived.
type Conn struct {
	*net.TCPConn
	received atomic.Bool // bytes were read since the last BeginIdle

	mu     sync.Mutex
	ending bool // EndIdle has been called, and nothing was read since
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
	return c.TCPConn.SetReadDeadline(time.Now())
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
	if !c.ending {
		return nil
	}
	c.ending = false
	return c.TCPConn.SetReadDeadline(time.Time{})
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
