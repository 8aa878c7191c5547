package mgquarantine

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Problem returns the problem for the caller of a request that is still held; mayHaveRun
// reports whether an attempt of it may have run.
func Problem(left mgclock.Millis, mayHaveRun bool) *mgproblem.Problem {
	const detail = "upstreams ended one after another as they began this request, which is held back"
	if mayHaveRun {
		return mgproblem.New(mgproblem.Quarantined, mgproblem.Unknown, detail, "don't send it again as it is")
	}
	return mgproblem.New(mgproblem.Quarantined, mgproblem.NotRun, detail,
		"send another, or the same after the time given").WithRetryAfter(left)
}
