package mglistener

import (
	"io"
	"time"
)

// maxWriteBytes is the number of bytes of an answer that are written at a time, each part with a timeout of
// its own.
const maxWriteBytes = 64 << 10

// maxLingerBytes is the number of bytes that are read and discarded while a connection lingers.
const maxLingerBytes = 8 << 20

// SetWriteDeadline sets the deadline for writes; see Timeouts.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	c.writeLimitedAt = time.Time{}
	return c.TCPConn.SetWriteDeadline(t)
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

// CloseWrite ends the stream of bytes that are written. A later Close doesn't linger.
func (c *Conn) CloseWrite() error {
	c.SkipLinger()
	return c.TCPConn.CloseWrite()
}

// SetLinger sets what the kernel does with what is left after a close. With 0 seconds Close resets the connection
// at once, also if a request that is being received has been answered.
func (c *Conn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = seconds == 0
	return c.TCPConn.SetLinger(seconds)
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
	if c.lingered || c.resets || !c.receiving || !c.answered || c.timeouts.Linger <= 0 {
		return false
	}
	c.lingered, c.aborted = true, false
	c.readDeadline, c.requestDeadline = time.Time{}, deadlineIn(c.timeouts.Linger)
	return c.applyReadDeadline() == nil
}
