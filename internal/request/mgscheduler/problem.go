package mgscheduler

import (
	"fmt"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

func problemDuplicate(id string) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Invalid, mgproblem.Unknown,
		fmt.Sprintf("the attempt %q is known already", id), "give each attempt an id of its own")
}

func problemLarge() *mgproblem.Problem {
	return mgproblem.New(mgproblem.TooLarge, mgproblem.NotRun,
		"the prompt is larger than the upstream's memory", "send a shorter prompt")
}

func problemLeaving() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Leaving, mgproblem.NotRun,
		"the upstream is leaving", "ask another upstream now")
}

func problemFull(retry mgclock.Millis) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
		"the account's part of the queue is full", "come back after the time given, with fewer requests at a time").WithRetryAfter(retry)
}

// problemUnmeetableDeadline is for a request that is refused when it comes, without waiting.
func problemUnmeetableDeadline(retry mgclock.Millis) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
		"the upstream can't answer before the deadline", "come back after the time given, or allow more time").WithRetryAfter(retry)
}

// problemGivenUp is for a request that has waited in the queue and is given up.
func problemGivenUp(retry mgclock.Millis) *mgproblem.Problem {
	return mgproblem.New(mgproblem.DeadlineExceeded, mgproblem.NotRun,
		"the request waited and can't be answered in time any more", "come back after the time given, or allow more time").WithRetryAfter(retry)
}
