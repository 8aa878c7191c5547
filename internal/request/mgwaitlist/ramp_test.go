package mgwaitlist

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwarm"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against an overload of cold engines. Many short requests wait, at ten times the
// usual load, while nineteen engines come back at once, cold, or while one or two cold
// engines are all that there are. The cold engines look empty, all waiting requests are
// placed there in one or two rounds, and the engines crash.
func TestColdEnginesOverloaded(t *testing.T) {
	const (
		rate   = 25.0
		bound  = 1.5*rate + 5 // documented limit for any second
		step   = 10 * mgclock.Millis(1)
		backAt = 2 * mgclock.Second
		warmAt = 3 * mgclock.Second
	)
	for _, c := range []struct {
		name      string
		warmCount int // engines that are warm, and full for the whole test
		coldCount int // engines that come back
		load      int // requests that arrive in each step
	}{
		{
			name:      "nineteen come back beside full ones",
			warmCount: 37,
			coldCount: 19,
			load:      8,
		},
		{
			name:      "there are only two",
			coldCount: 2,
			load:      8,
		},
		{
			name:      "there is only one",
			coldCount: 1,
			load:      8,
		},
	} {
		Convey("Cold engines aren't given more than their rate where "+c.name, t, func() {
			var r WaitingList
			given := map[string][]mgclock.Millis{}
			grantsAfterWarmUp := 0
			for now := mgclock.Millis(0); now < 5*mgclock.Second; now += step {
				for n := range c.load {
					r.Add(Request{
						Name:     fmt.Sprintf("note-%d-%d", now, n),
						Need:     200,
						Arrived:  now,
						Due:      now + 1000,
						GiveUpAt: now + 4500,
					})
				}
				places := []Place{}
				for i := range c.warmCount + c.coldCount {
					place := Place{
						Name: fmt.Sprint("engine-", i),
						Free: 20_000, // their requests end at once
					}
					if i < c.warmCount {
						place.Free = 0 // full for the whole test
					}
					if i >= c.warmCount {
						if now < backAt {
							continue
						}
						if now < warmAt {
							place.ColdRate = mgwarm.PlacementLimit(rate, 1)
						}
					}
					places = append(places, place)
				}
				for _, g := range r.Assign(now, places) {
					if g.Place != "" && now < warmAt {
						given[g.Place] = append(given[g.Place], now)
					}
					if g.Place != "" && now >= warmAt {
						grantsAfterWarmUp++
					}
				}
			}
			maxGrants := 0
			for i := c.warmCount; i < c.warmCount+c.coldCount; i++ {
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
			So(grantsAfterWarmUp, ShouldBeGreaterThan, c.coldCount*int(rate))
		})
	}
}
