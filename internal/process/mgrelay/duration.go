package mgrelay

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const (
	// msPerToken is the time per token of a stream in ms: a step of 7 ms, as
	// published for the engines, plus an allowance for concurrent generations and
	// for prompts that are read at the same time.
	msPerToken = 9
	// firstEventTime is the time to a stream's first event, somewhat above the
	// median when nothing is queued.
	firstEventTime = 600 * mgclock.Millis(1)
	// defaultPlainGoal is the goal of a plain call whose route gives none.
	defaultPlainGoal = 300 * mgclock.Millis(1)
	// plainGoalFactor times its goal is how long a plain call may normally take.
	plainGoalFactor = 3
)

// expectedDuration returns how long a request is expected to take. An entry that
// stops accepts requests that end before it does: a report of eight seconds that
// starts within a notice of two would be cut, while a lookup of 20 ms need not be
// sent elsewhere.
func (x *exchange) expectedDuration() mgclock.Millis {
	if x.call.Route.Kind() == mgtable.Stream {
		return min(firstEventTime+msPerToken*mgclock.Millis(x.size.output), x.timeout)
	}
	goal := x.call.Route.LatencyGoal()
	if goal == 0 {
		goal = defaultPlainGoal
	}
	return min(plainGoalFactor*goal, x.timeout)
}
