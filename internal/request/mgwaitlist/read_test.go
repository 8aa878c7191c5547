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

// prefillEngine is an engine with unlimited memory that prefills (reads) prompts one after
// another.
type prefillEngine struct {
	queue     []string
	remaining map[string]int // tokens to be read, by request
}

// prefill prefills for one step and returns the requests whose prompts are complete.
func (e *prefillEngine) prefill(step mgclock.Millis) (done []string) {
	budget := int(float64(step) * mgload.ReadRate)
	for len(e.queue) > 0 && budget > 0 {
		name := e.queue[0]
		part := min(budget, e.remaining[name])
		e.remaining[name] -= part
		budget -= part
		if e.remaining[name] > 0 {
			break
		}
		delete(e.remaining, name)
		e.queue = e.queue[1:]
		done = append(done, name)
	}
	return done
}

func (e *prefillEngine) pending() int {
	sum := 0
	for _, tokens := range e.remaining {
		sum += tokens
	}
	return sum
}

// simulateOverload simulates ten engines that get prompts at 1.5 times their reading rate
// for three seconds of each six, and at half of it in the others, as with waves of users
// and engines that are replaced again and again. It returns the fraction of requests that
// begin on time. Unless knowsPending is set, the waiting list doesn't know what engines
// have to read.
func simulateOverload(knowsPending bool) float64 {
	const engines, prompt, span, step = 10, 2800, 60 * mgclock.Second, 20 * mgclock.Millis(1)
	const goal = 1500 * mgclock.Millis(1)
	capacity := engines * mgload.ReadRate / prompt // requests per ms
	prefillTime := mgclock.Millis(math.Ceil(prompt / mgload.ReadRate))
	r := rand.New(rand.NewPCG(3, 4))
	var waitingList WaitingList
	list := make([]prefillEngine, engines)
	arrivedAt := map[string]mgclock.Millis{}
	asked, onTime := 0.0, 0.0
	for now := mgclock.Millis(0); now < span; now += step {
		rate := 1.5 * capacity
		if now%(6*mgclock.Second) >= 3*mgclock.Second {
			rate = 0.5 * capacity
		}
		for arrivals := rate * float64(step); r.Float64() < arrivals; arrivals-- {
			name := fmt.Sprint(len(arrivedAt))
			arrivedAt[name] = now
			asked++
			waitingList.Add(Request{
				Name:     name,
				Need:     prompt,
				Duration: prefillTime,
				Arrived:  now,
				Due:      now + goal - prefillTime,
				GiveUpAt: now + 3*goal,
			})
		}
		var places []Place
		for i := range list {
			place := Place{
				Name: fmt.Sprint(i),
				Cost: float64(list[i].pending()) / mgload.ReadRate,
				Free: 100000,
			}
			if knowsPending {
				place.Pending = list[i].pending()
			}
			places = append(places, place)
		}
		waitingList.assignments = nil // pending includes each grant at once, so none may count twice
		for _, g := range waitingList.Assign(now, places) {
			var index int
			if _, err := fmt.Sscan(g.Place, &index); err != nil {
				continue // the request was given up
			}
			if list[index].remaining == nil {
				list[index].remaining = map[string]int{}
			}
			list[index].queue = append(list[index].queue, g.Name)
			list[index].remaining[g.Name] = prompt
		}
		for i := range list {
			for _, name := range list[i].prefill(step) {
				if now <= arrivedAt[name]+goal {
					onTime++
				}
			}
		}
	}
	return onTime / asked
}

// Guards against this failure: engines have free memory, but prompts wait there for one
// another for more than a second. All requests of these seconds begin slightly late,
// although three of four could have been on time; the others would be late in any case.
func TestPromptsQueueAtEngines(t *testing.T) {
	timelyAtEngines, timelyOnList := simulateOverload(false), simulateOverload(true)
	t.Logf("on time: waiting at engines %.2f, on the waiting list %.2f", timelyAtEngines, timelyOnList)
	Convey("Requests that wait on the waiting list and not at engines begin on time", t, func() {
		So(timelyOnList, ShouldBeGreaterThan, timelyAtEngines+0.1)
	})
}
