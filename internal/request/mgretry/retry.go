package mgretry

import (
	"math/rand/v2"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// BaseBackoff and MaxBackoff bound the random part of a backoff. BaseBackoff is
// a few decoding steps of an engine; MaxBackoff is the maximum time by which a
// caller's retry may follow the end of an outage.
const (
	BaseBackoff = 100 * mgclock.Millis(1)
	MaxBackoff  = 30 * mgclock.Second
)

// MaxTries is the maximum of tries of one request within the system. After
// three failures the problem goes to the caller, who decides whether to retry.
const MaxTries = 3

// A FailedTry describes a failed try of a request.
type FailedTry struct {
	Problem    *mgproblem.Problem
	Idempotent bool           // it is allowed to run twice
	Delivered  bool           // the caller has received part of the answer
	Tries      int            // tries so far, at least 1
	Deadline   mgclock.Millis // time by which the answer must begin, 0 for none
}

// Next returns the backoff before the next try, or false if there is none. A
// retry spends from the service's budget, unless an upstream returned the
// request because it is leaving: such retries are bounded by what was queued
// there, and the request has cost the upstream nothing.
func (b *Budget) Next(now mgclock.Millis, failed FailedTry, r *rand.Rand) (mgclock.Millis, bool) {
	if failed.Tries >= MaxTries || !Allowed(failed) {
		return 0, false
	}
	wait := mgclock.Millis(0)
	if failed.Problem.Kind() != mgproblem.Leaving {
		wait = Backoff(failed.Tries, failed.Problem.RetryAfter(), r)
	}
	if failed.Deadline > 0 && now+wait >= failed.Deadline {
		return 0, false
	}
	if failed.Problem.Kind() != mgproblem.Leaving && !b.Spend() {
		return 0, false
	}
	return wait, true
}

// Allowed reports whether a failed try may be repeated at all.
func Allowed(failed FailedTry) bool {
	if failed.Delivered || !isTransient(failed.Problem.Kind()) {
		return false
	}
	switch failed.Problem.Outcome() {
	case mgproblem.NotRun:
		return true
	case mgproblem.Unknown:
		return failed.Idempotent
	default:
		return false
	}
}

// isTransient reports whether a problem may be absent at another upstream or
// after a while.
func isTransient(kind mgproblem.Kind) bool {
	switch kind {
	case mgproblem.Overloaded, mgproblem.Leaving, mgproblem.NotReady, mgproblem.OutdatedVersion,
		mgproblem.Incarnation, mgproblem.Interrupted, mgproblem.Unconfirmed, mgproblem.Internal:
		return true
	default:
		return false
	}
}

// Backoff returns the backoff after a number of tries, the last of which was
// answered with retryAfter as the minimum delay.
func Backoff(tries int, retryAfter mgclock.Millis, r *rand.Rand) mgclock.Millis {
	bound := MaxBackoff
	if shift := max(tries-1, 0); shift < 16 {
		bound = min(BaseBackoff<<shift, MaxBackoff)
	}
	return max(retryAfter, 0) + mgclock.Millis(r.Int64N(int64(bound)+1))
}
