package mgscheduler_test

import (
	"fmt"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgscheduler"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// An agent polls the scheduler after each event and carries out its decisions.
func Example() {
	s := mgscheduler.New(mgscheduler.Spec{
		Memory: 40_000,
		Batch:  1,
	})
	now := mgclock.Millis(0)
	for _, id := range []string{"first", "second"} {
		refused := s.Submit(now, mgscheduler.Request{
			ID:       id,
			Account:  "tank",
			Service:  "note",
			Prompt:   100,
			Deadline: now + mgclock.Second,
		})
		fmt.Println(id, "refused:", refused != nil)
	}
	for _, d := range s.Poll(now, nil) {
		fmt.Println(d.ID, "starts")
	}
	now = s.NextWake(now)
	for _, d := range s.Poll(now, nil) {
		fmt.Println(d.ID, "is given up on at", now, "and may come back in", d.GiveUp.RetryAfter(), "ms")
	}
	// Output:
	// first refused: false
	// second refused: false
	// first starts
	// second is given up on at 1000 and may come back in 200 ms
}
