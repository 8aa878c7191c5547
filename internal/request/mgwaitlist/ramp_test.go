package mgwaitlist

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwarm"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Nineteen engines come back at once, cold, while many short requests wait, at ten times
// the usual load; or only one or two engines are left. The cold engines look empty, all
// waiting requests are placed there in one or two rounds, and the engines crash.
func TestColdEnginesOverloaded(t *testing.T) {
	const (
		rate  = 25.0
		bound = 1.5*rate + 5 // documented limit for any second
		step  = 10 * mgclock.Millis(1)
		back  = 2 * mgclock.Second
		warm  = 3 * mgclock.Second
	)
	for _, c := range []struct {
		name string
		stay int // engines that are warm, and full for the whole test
		back int // engines that come back
		load int // requests that arrive in each step
	}{
		{
			name: "nineteen come back beside full ones",
			stay: 37,
			back: 19,
			load: 8,
		},
		{
			name: "there are only two",
			back: 2,
			load: 8,
		},
		{
			name: "there is only one",
			back: 1,
			load: 8,
		},
	} {
		Convey("Cold engines aren't given more than their rate where "+c.name, t, func() {
			var r WaitingList
			given := map[string][]mgclock.Millis{}
			atWarm := 0
			for now := mgclock.Millis(0); now < 5*mgclock.Second; now += step {
				for n := range c.load {
					r.Add(Request{
						Name:    fmt.Sprintf("note-%d-%d", now, n),
						Need:    200,
						Arrived: now,
						Due:     now + 1000,
						End:     now + 4500,
					})
				}
				places := []Place{}
				for i := range c.stay + c.back {
					place := Place{
						Name: fmt.Sprint("engine-", i),
						Free: 20_000, // their requests end at once
					}
					if i < c.stay {
						place.Free = 0 // full for the whole test
					}
					if i >= c.stay {
						if now < back {
							continue
						}
						if now < warm {
							place.Ramp = mgwarm.PlacementLimit(rate, 1)
						}
					}
					places = append(places, place)
				}
				for _, g := range r.Assign(now, places) {
					if g.Place != "" && now < warm {
						given[g.Place] = append(given[g.Place], now)
					}
					if g.Place != "" && now >= warm {
						atWarm++
					}
				}
			}
			maxGrants := 0
			for i := c.stay; i < c.stay+c.back; i++ {
				times := given[fmt.Sprint("engine-", i)]
				So(len(times), ShouldBeGreaterThan, 0)
				for from := range times {
					second := 0
					for _, at := range times[from:] {
						if at < times[from]+mgclock.Second {
							second++
						}
					}
					maxGrants = max(maxGrants, second)
				}
			}
			t.Logf("%s: maximum of %d in a second", c.name, maxGrants)
			So(maxGrants, ShouldBeLessThanOrEqualTo, bound)
			So(atWarm, ShouldBeGreaterThan, c.back*int(rate))
		})
	}
}
