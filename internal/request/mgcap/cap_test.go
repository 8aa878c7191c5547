package mgcap_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgcap"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

func lease(now mgclock.Millis) mgcap.Lease {
	return mgcap.Lease{
		Rate:    100,
		Streams: 4,
		Expires: now + 2*mgclock.Second,
	}
}

// Guards against a caller that exceeds its cap: a batch job sends ten times its
// cap and gets it, because its answers, though short, are longer than the
// expected cost that is taken when they start.
func TestCallerExceedsCap(t *testing.T) {
	Convey("A caller that sends all the time gets its cap", t, func() {
		var c mgcap.Cap
		got := 0.0
		running := false
		for now := mgclock.Millis(0); now < 10*mgclock.Minute; now += 50 {
			if now%mgclock.Second == 0 {
				c.Renew(now, lease(now))
			}
			if running {
				c.End(now, 20, 90)
				got += 90
			}
			running = c.Start(now, 20) == nil
		}
		So(got, ShouldBeBetween, 600*95, 600*100.5)
	})
	Convey("and a rejected caller may start after the given delay", t, func() {
		var c mgcap.Cap
		c.Renew(0, lease(0))
		p := c.Start(0, 50)
		So(p.Kind(), ShouldEqual, mgproblem.LimitReached)
		So(p.Outcome(), ShouldEqual, mgproblem.NotRun)
		So(c.Start(p.RetryAfter()-1, 50), ShouldNotBeNil)
		So(c.Start(p.RetryAfter(), 50), ShouldBeNil)
	})
	Convey("and has no more streams than its lease", t, func() {
		var c mgcap.Cap
		c.Renew(0, lease(0))
		for range 4 {
			So(c.Start(1000, 1), ShouldBeNil)
		}
		So(c.Start(1000, 1), ShouldNotBeNil)
		c.End(1000, 1, 1)
		So(c.Start(1000, 1), ShouldBeNil)
	})
}

// Guards against an expired lease that is still used: a partition separates an
// entry from the account's home, and both sides hand out the whole cap until it
// heals. An entry that was suspended does the same when it wakes.
func TestExpiredLeaseAdmits(t *testing.T) {
	Convey("After its lease has expired an entry starts nothing", t, func() {
		var c mgcap.Cap
		c.Renew(0, lease(0))
		So(c.Start(1999, 1), ShouldBeNil)
		So(c.Start(2000, 1), ShouldNotBeNil)
		Convey("and saved tokens are dropped", func() {
			c.Renew(10_000, lease(10_000))
			So(c.Start(10_000, 1), ShouldNotBeNil)
			So(c.Start(10_020, 1), ShouldBeNil)
		})
	})
}

// For any leases, requests and corrections, no more tokens are spent than the
// leases earned and the corrections returned, and no more streams run than
// leased.
func TestAdmitsMoreThanLeased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c mgcap.Cap
		var l mgcap.Lease
		now, next := mgclock.Millis(0), mgclock.Millis(0)
		earned, used := 0.0, 0.0
		var running []float64
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			next = now + mgclock.Millis(rapid.IntRange(0, 3000).Draw(t, "span"))
			if end := min(next, l.Expires); end > now {
				earned += l.Rate * float64(end-now) / 1000
			}
			now = next
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				l = mgcap.Lease{
					Rate:    rapid.Float64Range(0, 1000).Draw(t, "rate"),
					Streams: rapid.IntRange(0, 8).Draw(t, "streams"),
					Expires: now + mgclock.Millis(rapid.IntRange(0, 4000).Draw(t, "lease")),
				}
				c.Renew(now, l)
			case 1:
				cost := rapid.Float64Range(0, 100).Draw(t, "cost")
				if c.Start(now, cost) != nil {
					break
				}
				running = append(running, cost)
				used += cost
				if now >= l.Expires || len(running) > l.Streams {
					t.Fatalf("%d streams of %d, lease ended %v", len(running), l.Streams, now >= l.Expires)
				}
				// One answer may cost more than a full bucket.
				if used > earned+100+1e-6 {
					t.Fatalf("%v tokens of %v", used, earned)
				}
			case 2:
				if len(running) == 0 {
					break
				}
				expected := running[0]
				running = running[1:]
				cost := expected * rapid.Float64Range(0, 1).Draw(t, "part")
				c.End(now, expected, cost)
				used += cost - expected
			}
			if c.Streams() != len(running) {
				t.Fatalf("%d streams, %d run", c.Streams(), len(running))
			}
		}
	})
}

func BenchmarkStart(b *testing.B) {
	var c mgcap.Cap
	c.Renew(0, mgcap.Lease{
		Rate:    1e9,
		Streams: 1,
		Expires: 1 << 60,
	})
	now := mgclock.Millis(0)
	b.ReportAllocs()
	for b.Loop() {
		now++
		_ = c.Start(now, 100)
		c.End(now, 100, 120)
	}
}
