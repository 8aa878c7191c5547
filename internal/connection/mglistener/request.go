package mglistener

import (
	"errors"
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
	if c.aborted {
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

// IsRequestAborted reports whether AbortRequest has ended the request that is being received.
func (c *Conn) IsRequestAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// IsEnding reports whether EndIdle or AbortRequest has been called and not been withdrawn since: by bytes that
// had arrived by then, or by the end of the request.
func (c *Conn) IsEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending || c.aborted
}

// EndRequest records that a whole request has been read.
func (c *Conn) EndRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving, c.aborted = false, false
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

// AbortRequest makes reads of the request that is being received fail. It reports false if none is.
func (c *Conn) AbortRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receiving {
		return false
	}
	c.aborted = true
	c.requestDeadline = time.Now()
	_ = c.applyReadDeadline() // fails only on a closed connection
	return true
}

// reportTimeout reports that a request hasn't arrived in time.
func (c *Conn) reportTimeout() {
	c.mu.Lock()
	isLate := c.receiving && !c.aborted && !c.requestDeadline.IsZero() && !time.Now().Before(c.requestDeadline)
	report := c.onTimeout
	c.mu.Unlock()
	if isLate && report != nil {
		report()
	}
}
