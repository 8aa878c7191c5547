package mgrelay

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A caller that comes back must not be ordered before those that can still be on time, and a new
// caller with less patience than others must not be taken for one that has come back.
func TestReturningCallerTakenForNewOne(t *testing.T) {
	cases := []struct {
		name       string
		newShare   float64 // of the callers, the others have waited before
		waited     mgclock.Millis
		wantMissed float64 // most of those that have waited that are taken for new ones
	}{
		{
			name:       "a tenth has waited for 12 s",
			newShare:   0.9,
			waited:     12 * mgclock.Second,
			wantMissed: 0,
		},
		{
			name:       "a third has waited for 12 s",
			newShare:   0.67,
			waited:     12 * mgclock.Second,
			wantMissed: 0.35,
		},
	}
	Convey("Of callers that wait for 33 to 39 s in all, where", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				r := rand.New(rand.NewPCG(1, 2))
				var tries firstTries
				newCount, mistaken, returned, missed := 0.0, 0.0, 0.0, 0.0
				for n := range 2000 {
					deadline := 33*mgclock.Second + mgclock.Millis(r.Int64N(6000))
					isNew := r.Float64() < c.newShare
					if !isNew {
						deadline -= c.waited
					}
					waited := tries.Waited("report", deadline)
					switch {
					case n < deadlineSamples:
					case isNew:
						newCount++
						if waited > 0 {
							mistaken++
						}
					default:
						returned++
						if waited < c.waited/2 {
							missed++
						}
					}
				}
				t.Logf("%s: new ones mistaken %.3f, returned ones missed %.3f", c.name, mistaken/newCount, missed/returned)
				So(mistaken/newCount, ShouldBeLessThan, 0.05)
				So(missed/returned, ShouldBeLessThanOrEqualTo, c.wantMissed)
			})
		}
		Convey("an entry that knows few callers takes all of them for new ones", func() {
			var tries firstTries
			So(tries.Waited("report", 39*mgclock.Second), ShouldEqual, 0)
			So(tries.Waited("report", 3*mgclock.Second), ShouldEqual, 0)
		})
		Convey("routes are told apart, and a bounded number of them is kept", func() {
			var tries firstTries
			for range deadlineSamples {
				tries.Waited("report", 39*mgclock.Second)
				tries.Waited("note", 6*mgclock.Second)
			}
			So(tries.Waited("note", 6*mgclock.Second), ShouldEqual, 0)
			So(tries.Waited("report", 20*mgclock.Second), ShouldEqual, 19*mgclock.Second)
			for n := range 2 * maxTrackedRoutes {
				tries.Waited(fmt.Sprint("route ", n), 6*mgclock.Second)
			}
			So(len(tries.byRoute), ShouldBeLessThanOrEqualTo, maxTrackedRoutes)
		})
	})
}
