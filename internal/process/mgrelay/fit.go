package mgrelay

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const (
	// tokenSpan is the time of one token of a stream in ms: a step of 7 ms, as
	// engines publish it, and an allowance for the others that run and for
	// prompts that are read beside it. The allowance is an estimate.
	tokenSpan = 9
	// firstSpan is the time to a stream's first event, somewhat above the median where
	// nothing waits.
	firstSpan = 600 * mgclock.Millis(1)
	// plainSpan is that of a plain call where its route gives no goal.
	plainSpan = 300 * mgclock.Millis(1)
	// plainPart is how many times its goal a plain call may well take.
	plainPart = 3
)

// expected returns how long a request will take. An entry that stops takes what
// ends before it does: a report of eight seconds that begins within a notice of
// two would be cut, while a lookup of 20 ms need not go elsewhere.
func (x *exchange) expected() mgclock.Millis {
	if x.call.Route.Kind() == mgtable.Stream {
		return min(firstSpan+tokenSpan*mgclock.Millis(x.size.output), x.limit)
	}
	goal := x.call.Route.Goal()
	if goal == 0 {
		goal = plainSpan
	}
	return min(plainPart*goal, x.limit)
}
