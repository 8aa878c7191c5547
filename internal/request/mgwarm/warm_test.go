package mgwarm

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A zone with nineteen engines comes back cold while the queue is full, or one
// engine is left. Hundreds of entries that know few of each other each send a
// request to the idle engine, which crashes with all of them.
func TestColdUpstreamFlooded(t *testing.T) {
	const (
		rate  = 25.0
		bound = 1.5*rate + 5 // in any second, as promised to operators
	)
	for _, processes := range []int{1, 31, 100, 300, 1000} {
		for _, believed := range []int{1, processes} {
			if believed == 1 && processes > minProcesses {
				continue // for so many, see docs/OPERATIONS.md
			}
			for _, upstreams := range []int{1, 19} {
				if upstreams > 1 && processes > 300 {
					continue // turns at different upstreams are independent
				}
				Convey(fmt.Sprintf("%d entries that know of %d send all they can to %d cold engines", processes, believed, upstreams), t, func() {
					const (
						step = 250 * mgclock.Millis(1)
						span = 120 * mgclock.Second
					)
					turns := make([]Turns, processes)
					total, most := 0, 0
					for u := range upstreams {
						var sent [span / step]int
						upstream := fmt.Sprint("engine-", u)
						for p := range processes {
							self := fmt.Sprint("entry-", p)
							for at := range sent {
								if turns[p].Take(mgclock.Millis(at)*step, self, upstream, rate, believed) {
									sent[at]++
								}
							}
						}
						for at := range sent {
							second := 0
							for _, n := range sent[at:min(at+int(mgclock.Second/step), len(sent))] {
								second += n
							}
							most = max(most, second)
							total += sent[at]
						}
					}
					So(most, ShouldBeLessThanOrEqualTo, bound)
					So(total, ShouldBeGreaterThan, 0)
				})
			}
		}
	}
}

func TestPlacementsExceedRate(t *testing.T) {
	Convey("What processes grant together", t, func() {
		for _, c := range []struct {
			rate   float64
			givers int
			most   int
		}{
			{
				rate:   25,
				givers: 1,
				most:   12,
			},
			{
				rate:   25,
				givers: 4,
				most:   3,
			},
			{
				rate:   1,
				givers: 1,
				most:   1,
			},
		} {
			So(Placed(c.rate, c.givers), ShouldEqual, c.most)
		}
	})
}
