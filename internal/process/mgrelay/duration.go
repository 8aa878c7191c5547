package mgrelay

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const (
	// msPerToken is the time of one token of a stream in ms: a step of 7 ms, as
	// engines publish it, and an allowance for the others that run and for
	// prompts that are read beside it. The allowance is an estimate.
	msPerToken = 9
	// firstEventTime is the time to a stream's first event, somewhat above the median where
	// nothing waits.
	firstEventTime = 600 * mgclock.Millis(1)
	// defaultPlainGoal is that of a plain call where its route gives no goal.
	defaultPlainGoal = 300 * mgclock.Millis(1)
	// plainGoalFactor is how many times its goal a plain call may well take.
	plainGoalFactor = 3
)

// expectedDuration returns how long a request will take. An entry that stops takes what
// ends before it does: a report of eight seconds that begins within a notice of
// two would be cut, while a lookup of 20 ms need not go elsewhere.
func (x *exchange) expectedDuration() mgclock.Millis {
	if x.call.Route.Kind() == mgtable.Stream {
		return min(firstEventTime+msPerToken*mgclock.Millis(x.size.output), x.timeout)
	}
	goal := x.call.Route.Goal()
	if goal == 0 {
		goal = defaultPlainGoal
	}
	return min(plainGoalFactor*goal, x.timeout)
}
