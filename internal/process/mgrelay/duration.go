package mgrelay

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const (
	// msPerToken is the time per token of a stream in ms: a step (one token for each
	// generation) of 7 ms, as published for the engines, plus an allowance for
	// concurrent generations and for prompts that are read at the same time.
	msPerToken = 9
	// firstEventTime is the time to a stream's first event, somewhat above the
	// median when nothing is queued.
	firstEventTime = 600 * mgclock.Millis(1)
	// defaultNonStreamGoal is the latency goal of a call that is not a stream and
	// whose route gives none.
	defaultNonStreamGoal = 300 * mgclock.Millis(1)
	// nonStreamGoalFactor is the expected duration of a call that is not a stream,
	// as a multiple of its latency goal.
	nonStreamGoalFactor = 3
)

// expectedDuration returns how long a request is expected to take. While an entry is
// stopping, it accepts only requests that are expected to end before it does. With two
// seconds left, a generation of eight seconds would break off, while a lookup of
// 20 ms need not be sent elsewhere.
func (x *exchange) expectedDuration() mgclock.Millis {
	if x.call.Route.Kind() == mgtable.Stream {
		return min(firstEventTime+msPerToken*mgclock.Millis(x.size.output), x.timeout)
	}
	goal := x.call.Route.LatencyGoal()
	if goal == 0 {
		goal = defaultNonStreamGoal
	}
	return min(nonStreamGoalFactor*goal, x.timeout)
}
