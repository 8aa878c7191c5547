package mgwaitlist

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// returningCaller is a caller whose request is given up and who comes back once.
type returningCaller struct {
	returnsAt mgclock.Millis // time at which it comes back, 0 for never
	attempts  int
	served    bool
}

// simulateRetries simulates ten engines that get prompts at twice their prefill rate for
// some seconds, and at a quarter of it afterwards. Callers whose requests are given up
// retry once, after the grant's retry time, or after fixedDelay where that is set. It
// returns the fraction of callers that are served at all, and the refusals per caller.
func simulateRetries(fixedDelay mgclock.Millis) (served, refused float64) {
	const engines, prompt, span, step = 10, 2800, 60 * mgclock.Second, 20 * mgclock.Millis(1)
	const goal = 1500 * mgclock.Millis(1)
	capacity := engines * mgload.ReadRate / prompt // requests per ms
	prefillTime := mgclock.Millis(math.Ceil(prompt / mgload.ReadRate))
	r := rand.New(rand.NewPCG(5, 6))
	var waitingList WaitingList
	list := make([]prefillEngine, engines)
	var callers []*returningCaller
	refusals := 0.0
	add := func(now mgclock.Millis, index int) {
		callers[index].attempts++
		waitingList.Add(Request{
			Name:     fmt.Sprint(index),
			Need:     prompt,
			Duration: prefillTime,
			Arrived:  now,
			Due:      now + goal - prefillTime,
			GiveUpAt: now + 3*goal,
		})
	}
	for now := mgclock.Millis(0); now < span; now += step {
		rate := 2 * capacity
		if now%(15*mgclock.Second) >= 7*mgclock.Second {
			rate = 0.25 * capacity
		}
		for arrivals := rate * float64(step); r.Float64() < arrivals; arrivals-- {
			callers = append(callers, &returningCaller{})
			add(now, len(callers)-1)
		}
		for index, c := range callers {
			if c.returnsAt > 0 && now >= c.returnsAt {
				c.returnsAt = 0
				add(now, index)
			}
		}
		var places []Place
		for i := range list {
			places = append(places, Place{
				Name:    fmt.Sprint(i),
				Cost:    float64(list[i].pending()) / mgload.ReadRate,
				Free:    100000,
				Pending: list[i].pending(),
			})
		}
		waitingList.assignments = nil // the engines here show their grants at once
		for _, g := range waitingList.Assign(now, places) {
			var index, place int
			_, _ = fmt.Sscan(g.Name, &index)
			c := callers[index]
			if _, err := fmt.Sscan(g.Place, &place); err == nil {
				if list[place].remaining == nil {
					list[place].remaining = map[string]int{}
				}
				list[place].queue = append(list[place].queue, g.Name)
				list[place].remaining[g.Name] = prompt
				c.served = true
				continue
			}
			refusals++
			if c.attempts < 2 {
				c.returnsAt = now + g.Retry
				if fixedDelay > 0 {
					c.returnsAt = now + fixedDelay
				}
			}
		}
		for i := range list {
			list[i].prefill(step)
		}
	}
	count := 0.0
	for _, c := range callers {
		if c.served {
			count++
		}
	}
	return count / float64(len(callers)), refusals / float64(len(callers))
}

// Guards against retry times that are too short. For seven seconds of fifteen, requests
// arrive at twice the rate at which they can begin. Callers whose requests are given up
// and who retry at once meet the same waiting list, are refused again, and get no answer
// although the engines are idle some seconds later.
func TestRefusedCallersReturnTooEarly(t *testing.T) {
	afterRetry, refusals := simulateRetries(0)
	atOnce, refusalsAtOnce := simulateRetries(100)
	t.Logf("served: with the retry time %.3f, back at once %.3f; refusals for each %.2f, %.2f", afterRetry, atOnce, refusals, refusalsAtOnce)
	Convey("Callers that come back after the retry time", t, func() {
		Convey("are served more often than if they came back at once", func() {
			So(afterRetry, ShouldBeGreaterThan, atOnce+0.02)
		})
		Convey("and are refused less often", func() {
			So(refusals, ShouldBeLessThan, 0.8*refusalsAtOnce)
		})
		Convey("no fixed delay serves more of them", func() {
			for _, fixed := range []mgclock.Millis{500, 1000, 2000, 3000, 5000, 8000} {
				served, _ := simulateRetries(fixed)
				So(served, ShouldBeLessThanOrEqualTo, afterRetry+0.005)
			}
		})
	})
}
