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

// Timeouts limit how long the peer of a connection may take, in ms; 0 stands for no limit. They hold beside
// the deadlines that the connection's user sets, whichever is earlier.
type Timeouts struct {
	Head  mgclock.Millis // from the first byte of a request to the end of its head
	Body  mgclock.Millis // from then on to the end of its body
	Write mgclock.Millis // for a part of an answer of maxWriteBytes
	// Linger is the time that the peer has to read an answer to a request that it still sends. A close
	// with unread bytes would reset the connection, and the answer could be lost.
	Linger mgclock.Millis
}

// maxLingerBytes is the number of bytes that are read and discarded while a connection lingers.
const maxLingerBytes = 8 << 20

// maxWriteBytes is the number of bytes of an answer that are written at a time, each part with a timeout of
// its own.
const maxWriteBytes = 64 << 10

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
	ended           bool           // by EndReceiving
	readDeadline    time.Time      // as set by the connection's user
	requestDeadline time.Time      // of the request that is being received
	writeDeadline   time.Time      // as set by the connection's user
	writeLimitedAt  time.Time      // when the timeout for writing was last started
	answered        bool           // bytes were written while a request was being received
	lingered        bool           // a close doesn't linger, or no longer
}

// SetTimeouts sets the timeouts of the connection. onTimeout, which may be nil, is called when a request
// doesn't arrive in time.
func (c *Conn) SetTimeouts(t Timeouts, onTimeout func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeouts = t
	c.onTimeout = onTimeout
}

// SetReadDeadline sets the deadline for reads. While a request is being received, its own deadline holds if
// it is earlier, also after the deadline for reads was removed.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyReadDeadline()
}

// SetWriteDeadline sets the deadline for writes; see Timeouts.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	c.writeLimitedAt = time.Time{}
	return c.TCPConn.SetWriteDeadline(t)
}

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// applyReadDeadline sets the earlier one of the deadlines that hold. The caller holds mu.
func (c *Conn) applyReadDeadline() error {
	return c.TCPConn.SetReadDeadline(earlier(c.readDeadline, c.requestDeadline))
}

// earlier returns the earlier one of two deadlines, of which zero is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// deadlineIn returns the deadline of a timeout that begins now, or none.
func deadlineIn(timeout mgclock.Millis) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return mgclock.DeadlineAfter(timeout)
}

// BeginBody records that the head of a request has been read, and that its body follows.
func (c *Conn) BeginBody() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	c.beginReceiving()
	c.requestDeadline = deadlineIn(c.timeouts.Body)
	return c.applyReadDeadline()
}

// LimitRest limits the time in which the rest of a request that has been answered is read.
func (c *Conn) LimitRest(timeout mgclock.Millis) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestDeadline = earlier(c.requestDeadline, deadlineIn(timeout))
	return c.applyReadDeadline()
}

// IsEnded reports whether EndReceiving has ended the request that is being received.
func (c *Conn) IsEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// IsEnding reports whether EndIdle or EndReceiving has been called and not been withdrawn since: by bytes that
// had arrived by then, or by the end of the request.
func (c *Conn) IsEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending || c.ended
}

// EndRequest records that a whole request has been read.
func (c *Conn) EndRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving, c.ended = false, false
	if c.requestDeadline.IsZero() {
		return nil
	}
	c.requestDeadline = time.Time{}
	return c.applyReadDeadline()
}

// beginReceiving records that a request is being received. The caller holds mu.
func (c *Conn) beginReceiving() {
	if !c.receiving {
		c.receiving, c.receivingSince, c.answered = true, mgclock.Clock{}.Now(), false
	}
}

// ReceivingSince returns since when a request is being received, or false if none is.
func (c *Conn) ReceivingSince() (mgclock.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivingSince, c.receiving
}

// EndReceiving makes reads of the request that is being received fail. It reports false if none is.
func (c *Conn) EndReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receiving {
		return false
	}
	c.ended = true
	c.requestDeadline = time.Now()
	_ = c.applyReadDeadline() // fails only on a closed connection
	return true
}

// Write writes to the connection, in parts that each have the timeout for writing.
func (c *Conn) Write(p []byte) (n int, err error) {
	for {
		if err := c.limitWrite(); err != nil {
			return n, err
		}
		written, err := c.TCPConn.Write(p[:min(len(p), maxWriteBytes)])
		n += written
		p = p[written:]
		if err != nil || len(p) == 0 {
			return n, err
		}
	}
}

// CloseWrite ends the stream of bytes that are written. A later Close doesn't linger.
func (c *Conn) CloseWrite() error {
	c.SkipLinger()
	return c.TCPConn.CloseWrite()
}

// SkipLinger makes Close close the connection at once.
func (c *Conn) SkipLinger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingered = true
}

// Close closes the connection. If a request that is being received has been answered, it lingers first, so that
// the peer can read the answer.
func (c *Conn) Close() error {
	if c.beginLinger() {
		if c.TCPConn.CloseWrite() == nil {
			_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes) // until the peer or the deadline ends it
		}
	}
	return c.TCPConn.Close()
}

// beginLinger reports whether the connection lingers, and sets the deadline for that.
func (c *Conn) beginLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingered || !c.receiving || !c.answered || c.timeouts.Linger <= 0 {
		return false
	}
	c.lingered, c.ended = true, false
	c.readDeadline, c.requestDeadline = time.Time{}, deadlineIn(c.timeouts.Linger)
	return c.applyReadDeadline() == nil
}

// limitWrite starts the timeout for writing, unless it was started a short time ago.
func (c *Conn) limitWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = c.receiving
	timeout := c.timeouts.Write
	if timeout <= 0 {
		return nil
	}
	now := time.Now()
	if now.Before(c.writeLimitedAt.Add((timeout / 8).Duration())) {
		return nil
	}
	c.writeLimitedAt = now
	return c.TCPConn.SetWriteDeadline(earlier(c.writeDeadline, now.Add(timeout.Duration())))
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
	if !c.ended {
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

// reportTimeout reports that a request hasn't arrived in time.
func (c *Conn) reportTimeout() {
	c.mu.Lock()
	isLate := c.receiving && !c.ended && !c.requestDeadline.IsZero() && !time.Now().Before(c.requestDeadline)
	report := c.onTimeout
	c.mu.Unlock()
	if isLate && report != nil {
		report()
	}
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
