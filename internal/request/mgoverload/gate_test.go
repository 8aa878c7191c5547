package mgoverload

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// observation is the wait of an event that was handled at a time.
type observation struct {
	at, wait mgclock.Millis
}

// every returns observations of one wait at an interval, from a time until another.
func every(interval, from, until, wait mgclock.Millis) []observation {
	var list []observation
	for at := from; at < until; at += interval {
		list = append(list, observation{
			at:   at,
			wait: wait,
		})
	}
	return list
}

// Guards against connections that a calm or briefly stalled process closes, and against those that a
// saturated one serves too late.
func TestConnectionsClosedWithoutOverloadOrServedLate(t *testing.T) {
	stall := []observation{
		{
			at:   1300,
			wait: 300,
		},
		{
			at:   1310,
			wait: 40,
		},
		{
			at:   1330,
			wait: 2,
		},
	}
	cases := []struct {
		name    string
		waits   []observation
		at      mgclock.Millis
		pending mgclock.Millis
		admits  bool
	}{
		{
			name:   "nothing was measured",
			admits: true,
		},
		{
			name:   "short waits",
			waits:  every(10, 0, 5000, Target-1),
			at:     5000,
			admits: true,
		},
		{
			name:   "a stall of 300 ms, the first connection after it",
			waits:  every(10, 0, 1000, 1),
			at:     1300,
			admits: true,
			// The event that was sent before the stall isn't handled yet.
			pending: 300,
		},
		{
			name:   "a stall of 300 ms and the events that waited meanwhile",
			waits:  append(every(10, 0, 1000, 1), stall...),
			at:     1330,
			admits: true,
		},
		{
			name:   "a garbage collection each half second, with long waits for 200 ms",
			waits:  append(append(every(10, 0, 200, 60), every(10, 200, 500, 5)...), every(10, 500, 700, 60)...),
			at:     700,
			admits: true,
		},
		{
			name: "two long waits, long after one another",
			waits: []observation{
				{
					at:   100,
					wait: 80,
				},
				{
					at:   5000,
					wait: 80,
				},
			},
			at:     5000,
			admits: true,
		},
		{
			name:   "long waits that ended long ago",
			waits:  every(10, 0, 1000, 100),
			at:     5000,
			admits: true,
		},
		{
			name:  "long waits without a break",
			waits: every(10, 0, Interval+20, Target),
			at:    Interval + 20,
		},
		{
			name: "waits that are longer than the interval",
			waits: []observation{
				{
					at:   1000,
					wait: 900,
				},
				{
					at:   2000,
					wait: 950,
				},
			},
			at: 2010,
		},
		{
			name: "a wait in progress after long ones",
			waits: []observation{
				{
					at:   1000,
					wait: 400,
				},
			},
			at:      1400,
			pending: 400,
		},
	}
	Convey("A gate decides on a new connection", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var g Gate
				g.Admits(c.at-1, 0) // a closed gate admits a connection each MaxClosed
				for _, o := range c.waits {
					g.Observe(o.at, o.wait)
				}
				So(g.Admits(c.at, c.pending), ShouldEqual, c.admits)
			})
		}
	})
}

// Guards against waits that grow again each time that a gate opens while the load goes on.
func TestGateReopensUnderLastingLoad(t *testing.T) {
	Convey("A gate that was closed", t, func() {
		var g Gate
		g.Admits(0, 0)
		for _, o := range every(10, 0, 500, 100) {
			g.Observe(o.at, o.wait)
		}
		So(g.Admits(500, 0), ShouldBeFalse)
		g.Observe(510, 1)
		Convey("opens at the first short wait", func() {
			So(g.Admits(511, 0), ShouldBeTrue)
			Convey("and closes at the next long one", func() {
				g.Observe(600, Target)
				So(g.Admits(600, 0), ShouldBeFalse)
			})
			Convey("and closes while an event waits for long", func() {
				So(g.Admits(700, Target), ShouldBeFalse)
			})
			Convey("and needs an interval of long ones once the load is over", func() {
				g.Observe(500+Memory, Target)
				So(g.Admits(500+Memory, 0), ShouldBeTrue)
			})
		})
	})
}

// Guards against a process that says that it is ready and takes no new connection for seconds.
func TestGateAdmitsNothingForLong(t *testing.T) {
	Convey("A closed gate admits a connection each second", t, func() {
		var g Gate
		admitted := 0
		for at := mgclock.Millis(0); at < 10*mgclock.Second; at += 10 {
			g.Observe(at, 500)
			if g.Admits(at, 0) && at >= mgclock.Second {
				admitted++
			}
		}
		So(admitted, ShouldEqual, 9)
	})
}
