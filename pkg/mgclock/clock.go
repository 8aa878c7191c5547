package mgclock

import (
	"context"
	"time"
)

// Millis is a time or a span of time in milliseconds. As a time it counts
// from an origin of the clock's own and compares only with the same clock.
type Millis int64

// Second and Minute are spans for the declaration of constants.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// Duration returns m as the standard library's span of time.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration returns d in milliseconds, rounded down.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// A Clock tells the time in milliseconds. The zero Clock reads the system's
// monotonic time.
type Clock struct {
	now   func() Millis
	after func(Millis) <-chan struct{}
}

// origin anchors the monotonic readings of the zero Clock.
var origin = time.Now()

// Now returns the present time.
func (c Clock) Now() Millis {
	if c.now != nil {
		return c.now()
	}
	return FromDuration(time.Since(origin))
}

// After returns a channel that is closed once span has passed. The zero
// Clock's channel is released by the runtime when its timer fires.
func (c Clock) After(delay Millis) <-chan struct{} {
	if c.after != nil {
		return c.after(delay)
	}
	done := make(chan struct{})
	time.AfterFunc(delay.Duration(), func() { close(done) })
	return done
}

// Sleep waits until span has passed or ctx ends. It reports whether the whole
// span passed.
func (c Clock) Sleep(ctx context.Context, duration Millis) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	if c.after != nil {
		select {
		case <-c.after(duration):
			return true
		case <-ctx.Done():
			return false
		}
	}
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Unix returns the seconds since 1970 by the system's clock, for the formats
// that want them. It may jump; no decision goes by it.
func Unix() int64 { return time.Now().Unix() }

// Deadline returns span from now in the form that connections take.
func Deadline(timeout Millis) time.Time { return time.Now().Add(timeout.Duration()) }

// UnixMillis returns the ms since 1970 by the system's clock, as Unix does.
func UnixMillis() int64 { return time.Now().UnixMilli() }
