package mgoperation

import "github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"

// The problems with which a start is refused.

func problemTombstone() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Tombstone, mgproblem.NotRun,
		"it was cancelled before it ran",
		"start again under a new id")
}

func problemOtherBody() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Invalid, mgproblem.Unknown,
		"the operation id was used with another body",
		"mint an operation id for each write")
}

// problemForeign refuses a stamp that is later than this process's clock. This
// process therefore can't have made the stamp.
func problemForeign() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Incarnation, mgproblem.Unknown,
		"the id was not made by this process",
		"ask the process that made it")
}

func problemExpired() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
		"the id is older than the record",
		"look in the service itself whether it ran; mint a new id only then")
}

func problemFull() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
		"the record of operations is full",
		"come back later with a new id").WithRetryAfter(DefaultLinger)
}

func problemDeadline() *mgproblem.Problem {
	return mgproblem.New(mgproblem.DeadlineExceeded, mgproblem.NotRun,
		"its deadline passed before it ran",
		"allow more time, or come back when the service is less busy")
}

func problemAlreadySent() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
		"it was sent before",
		"wait for its result")
}
