package mgclock

import (
	"context"
	"time"
)

// Millis is a time or a duration in milliseconds. A time counts from the origin
// of its clock and is comparable only with times of the same clock.
type Millis int64

// Second and Minute are durations for the declaration of constants.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration returns d in milliseconds, rounded down.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// A Clock measures time in milliseconds and provides timers. The zero Clock
// reads the system's monotonic time.
type Clock struct {
	now   func() Millis
	after func(Millis) <-chan struct{}
}

// origin is the origin of the zero Clock's times.
var origin = time.Now()

// Now returns the current time.
func (c Clock) Now() Millis {
	if c.now != nil {
		return c.now()
	}
	return FromDuration(time.Since(origin))
}

// After returns a channel that is closed after delay. With the zero Clock, the
// runtime holds the channel until its timer fires.
func (c Clock) After(delay Millis) <-chan struct{} {
	if c.after != nil {
		return c.after(delay)
	}
	done := make(chan struct{})
	time.AfterFunc(delay.Duration(), func() { close(done) })
	return done
}

// Sleep waits for duration or until ctx ends. It reports whether the whole
// duration passed.
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

// UnixSeconds returns the seconds since 1970 by the system's clock, for formats that
// require them. It may jump; no decision may depend on it.
func UnixSeconds() int64 { return time.Now().Unix() }

// DeadlineAfter returns the time after timeout as a time.Time, for the deadlines of
// connections.
func DeadlineAfter(timeout Millis) time.Time { return time.Now().Add(timeout.Duration()) }

// UnixMillis returns the ms since 1970 by the system's clock. It may jump, as
// UnixSeconds may.
func UnixMillis() int64 { return time.Now().UnixMilli() }

// yieldPause is long enough for the runtime to run goroutines whose network events are ready; a
// mere runtime.Gosched doesn't look for such events.
const yieldPause = 100 * time.Microsecond

// Yield lets the runtime handle network events that are ready, in the middle of long work.
func Yield() { time.Sleep(yieldPause) }
