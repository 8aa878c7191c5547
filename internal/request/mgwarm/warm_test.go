package mgwarm

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against a flood of requests to a cold upstream: a zone with nineteen
// engines comes back cold while the queue is full, or one engine is left.
// Hundreds of entries that know few of each other each send a request to the
// idle engine. It crashes, and all these requests fail.
func TestColdUpstreamFlooded(t *testing.T) {
	const (
		rate  = 25.0
		bound = 1.5*rate + 5 // in any second, as promised to operators
	)
	for _, processes := range []int{1, 31, 100, 300, 1000} {
		for _, known := range []int{1, processes} {
			if known == 1 && processes > minProcesses {
				continue // not bounded: operators of more entries see docs/OPERATIONS.md
			}
			for _, upstreams := range []int{1, 19} {
				if upstreams > 1 && processes > 300 {
					continue // turns at different upstreams are independent
				}
				Convey(fmt.Sprintf("%d entries that know of %d send all they can to %d cold engines", processes, known, upstreams), t, func() {
					const (
						step     = 250 * mgclock.Millis(1)
						duration = 120 * mgclock.Second
					)
					turns := make([]Turns, processes)
					total, maxPerSecond := 0, 0
					for u := range upstreams {
						var sent [duration / step]int
						upstream := fmt.Sprint("engine-", u)
						for p := range processes {
							self := fmt.Sprint("entry-", p)
							for at := range sent {
								if turns[p].Take(mgclock.Millis(at)*step, self, upstream, rate, known) {
									sent[at]++
								}
							}
						}
						for at := range sent {
							second := 0
							for _, n := range sent[at:min(at+int(mgclock.Second/step), len(sent))] {
								second += n
							}
							maxPerSecond = max(maxPerSecond, second)
							total += sent[at]
						}
					}
					So(maxPerSecond, ShouldBeLessThanOrEqualTo, bound)
					So(total, ShouldBeGreaterThan, 0)
				})
			}
		}
	}
}

func TestPlacementsExceedRate(t *testing.T) {
	Convey("What processes grant together", t, func() {
		for _, c := range []struct {
			rate     float64
			granters int
			want     int
		}{
			{
				rate:     25,
				granters: 1,
				want:     12,
			},
			{
				rate:     25,
				granters: 4,
				want:     3,
			},
			{
				rate:     1,
				granters: 1,
				want:     1,
			},
		} {
			So(PlacementLimit(c.rate, c.granters), ShouldEqual, c.want)
		}
	})
}
