package mgbody

import (
	"errors"
	"net/http"
	"os"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// retryDelay is the time after which a caller tries again, most likely at another process.
const retryDelay = 100 * mgclock.Millis(1)

// EvictedError means that a request's connection was ended for another one before the whole body had arrived.
type EvictedError struct{}

// Error returns the cause and the remedy.
func (e *EvictedError) Error() string {
	return "mgbody: the connection was ended for another one while its body arrived: send the request again"
}

// Problem returns the problem for a body that could not be read, which may be that of CheckEnd. The request has not
// run.
func Problem(err error) *mgproblem.Problem {
	var problem *mgproblem.Problem
	if errors.As(err, &problem) {
		return problem
	}
	var large *http.MaxBytesError
	var exceeded *mgbudget.ExceededError
	var evicted *EvictedError
	switch {
	case errors.As(err, &large):
		return mgproblem.New(mgproblem.TooLarge, mgproblem.NotRun, "the body is too large", "send less").WithCause(err)
	case errors.As(err, &exceeded), errors.As(err, &evicted):
		return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
			"the process holds as much for callers as it may", "send it again after the time given").
			WithRetryAfter(retryDelay).WithCause(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return mgproblem.New(mgproblem.Invalid, mgproblem.NotRun,
			"the body didn't arrive in time", "send it whole, in the time of the deadline").WithCause(err)
	default:
		return mgproblem.New(mgproblem.Invalid, mgproblem.NotRun,
			"the body ended early", "send it whole, in the time of the deadline").WithCause(err)
	}
}
