package mgrelay

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const (
	// tokenSpan is the time of one token of a stream beside others and beside
	// prompts that are read, in ms: engines of 7 ms a step were seen at 8 to 11.
	tokenSpan = 9
	// firstSpan is the time to a stream's first event: 95 in 100 were seen within
	// 0.5 to 0.8 s.
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
