package mglag

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// newTestMeter returns a meter on a manual clock, whose waits arrive at a channel.
func newTestMeter(t *testing.T) (*Meter, *mgclock.Manual, chan mgclock.Millis) {
	manual := &mgclock.Manual{}
	waits := make(chan mgclock.Millis, 16)
	m, err := New(manual.Clock(), func(_, wait mgclock.Millis) { waits <- wait })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Close() })
	return m, manual, waits
}

// Guards against waits that are reported long after they have ended, or not at all.
func TestWaitOutdatedOrMissed(t *testing.T) {
	Convey("A meter", t, func() {
		m, manual, waits := newTestMeter(t)
		Convey("measures at most one wait each 10 ms", func() {
			m.Probe()
			So(<-waits, ShouldEqual, 0)
			manual.Advance(minProbeInterval - 1)
			m.Probe()
			So(len(m.sent), ShouldEqual, 0)
			manual.Advance(1)
			m.Probe()
			So(<-waits, ShouldEqual, 0)
		})
		Convey("reports the wait in progress", func() {
			manual.Advance(70)
			m.mu.Lock() // the event isn't handled before the lock is released
			m.send(event{sentAt: 0})
			So(m.longestRecent(70), ShouldEqual, 70)
			m.mu.Unlock()
			So(<-waits, ShouldEqual, 70)
			So(m.Recent(), ShouldEqual, 70)
			So(m.Average(), ShouldEqual, 8)
			Convey("and forgets it after two seconds", func() {
				manual.Advance(recentWindow)
				So(m.Recent(), ShouldEqual, 70)
				manual.Advance(recentWindow)
				So(m.Recent(), ShouldEqual, 0)
				So(m.State(), ShouldResemble, State{})
			})
		})
		Convey("that is closed lets nobody wait", func() {
			So(m.Close(), ShouldBeNil)
			m.Flush(context.Background())
			So(m.Probe(), ShouldEqual, 0)
		})
	})
}

// Guards against a timeout that takes effect before the events that were ready at its end.
func TestFlushReturnsBeforeReadyEvents(t *testing.T) {
	Convey("A flush returns once the process has handled what was ready", t, func() {
		m, _, waits := newTestMeter(t)
		m.Flush(context.Background())
		So(<-waits, ShouldEqual, 0)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		m.Flush(ctx)
		So(ctx.Err(), ShouldNotBeNil)
	})
}
