package mgpace_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgpace"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// An engine comes back, is the idlest of all, gets every request of the minute
// and answers none of them in time.
func TestRamp(t *testing.T) {
	Convey("A returned engine", t, func() {
		var r mgpace.Ramp
		r.Begin(1000)
		So(r.Limit(1000, 64), ShouldEqual, 6)
		So(r.Limit(1000+mgpace.Warm/2, 64), ShouldBeBetween, 30, 40)
		So(r.Limit(1000+mgpace.Warm, 64), ShouldEqual, 64)
		Convey("takes less after trouble, and one answer at least", func() {
			before := r.Share(1000 + mgpace.Warm/2)
			r.Trouble(1000 + mgpace.Warm/2)
			So(r.Share(1000+mgpace.Warm/2), ShouldBeLessThan, before)
			So(r.Limit(0, 2), ShouldEqual, 1)
		})
	})
}

// An engine changes its role each second while the load is at the threshold,
// loses its caches each time, and is slow until nobody asks any more.
func TestFlapping(t *testing.T) {
	Convey("A load that swings around the threshold changes little", t, func() {
		band := mgpace.NewBand(0.4, 0.6)
		var role mgpace.Hold[bool]
		role.Wish(0, false)
		changes, last := 0, false
		for now := mgclock.Millis(0); now < 10*mgclock.Minute; now += mgclock.Second {
			level := 0.5 + 0.3*float64(now/mgclock.Second%7-3)/3
			if kept := role.Wish(now, band.Look(level)); kept != last {
				changes++
				last = kept
			}
		}
		So(changes, ShouldEqual, 0)
	})
	Convey("A load that stays changes it once", t, func() {
		var role mgpace.Hold[string]
		role.Wish(0, "chat")
		now := mgpace.Dwell
		So(role.Wish(now, "batch"), ShouldEqual, "chat")
		So(role.Wish(now+mgpace.Settle, "batch"), ShouldEqual, "batch")
		So(role.Wish(now+2*mgpace.Settle, "chat"), ShouldEqual, "batch")
		role.Force(now+2*mgpace.Settle, "chat")
		So(role.Value(), ShouldEqual, "chat")
	})
}

// After an outage nine hundred engines ask for weights at once, the store
// refuses most of them, they ask again, and it takes an hour to serve them.
func TestWeightStore(t *testing.T) {
	Convey("Engines that load together share the store's rate", t, func() {
		const engines, perSecond = 60, 2
		r := rand.New(rand.NewPCG(1, 2))
		loads := make([]mgpace.Loads, engines)
		served := make([]int, engines)
		refusals, total, room := 0, 0, 0
		for i := range loads {
			loads[i].Stagger(0, i, 100)
		}
		for now := mgclock.Millis(0); now < 20*mgclock.Minute; now += mgclock.Second {
			room = min(room+perSecond, 10*perSecond)
			for k := range loads {
				i := (k + int(now/mgclock.Second)) % engines
				if !loads[i].Begin(now, r) {
					continue
				}
				if room == 0 {
					loads[i].Refused(now, 0, r)
					refusals++
					continue
				}
				room--
				served[i]++
				total++
				loads[i].Served()
			}
		}
		So(total, ShouldBeGreaterThan, 20*60*perSecond*6/10)
		So(refusals, ShouldBeLessThan, total/8)
		for _, n := range served {
			So(n, ShouldBeGreaterThan, total/engines/3)
		}
	})
}

// An engine is reclaimed with half a minute's notice. Short streams are cut
// though they would have ended, and a long one ends without a word.
func TestDrain(t *testing.T) {
	const end = 30 * mgclock.Second
	stream := func(remaining float64, delivered int, whole bool) mgpace.Stream {
		return mgpace.Stream{
			Remaining: remaining,
			Gap:       20,
			Delivered: delivered,
			Whole:     whole,
		}
	}
	Convey("A stream of a leaving engine", t, func() {
		Convey("stays where it ends in time", func() {
			So(mgpace.Drain(0, end, stream(500, 10, false)), ShouldEqual, mgpace.Stay)
		})
		Convey("moves where its caller has nothing of it, or wants it whole", func() {
			So(mgpace.Drain(0, end, stream(5000, 0, false)), ShouldEqual, mgpace.Move)
			So(mgpace.Drain(0, end, stream(5000, 10, true)), ShouldEqual, mgpace.Move)
		})
		Convey("is closed at the margin, and no sooner, where a part was delivered", func() {
			So(mgpace.Drain(end-mgpace.Margin-1, end, stream(5000, 10, false)), ShouldEqual, mgpace.Stay)
			So(mgpace.Drain(end-mgpace.Margin, end, stream(5000, 10, false)), ShouldEqual, mgpace.Close)
		})
	})
}

// Whatever the store says, the rate stays in its bounds and no load begins
// before its time; whatever is wished, changes are Dwell apart.
func TestPaceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var loads mgpace.Loads
		var role mgpace.Hold[int]
		now, changed := mgclock.Millis(0), mgclock.Millis(0)
		last := role.Wish(0, 0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += mgclock.Millis(rapid.IntRange(0, 60_000).Draw(t, "span"))
			due := loads.Next()
			if loads.Begin(now, r) {
				if now < due {
					t.Fatal("a load began before its time")
				}
				if rapid.Bool().Draw(t, "served") {
					loads.Served()
				} else {
					loads.Refused(now, 0, r)
				}
			}
			if r := loads.Rate(); r < 0.1 || r > 30 {
				t.Fatalf("rate %v", r)
			}
			if kept := role.Wish(now, rapid.IntRange(0, 2).Draw(t, "wish")); kept != last {
				if now-changed < mgpace.Dwell {
					t.Fatalf("changed after %d", now-changed)
				}
				last, changed = kept, now
			}
		}
	})
}
