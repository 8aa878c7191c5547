package mgretry

import (
	"math/rand/v2"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// BaseBackoff and MaxBackoff bound the random part of a wait. BaseBackoff is some steps of an
// engine; MaxBackoff is the longest that a caller may lag behind the end of an
// outage.
const (
	BaseBackoff = 100 * mgclock.Millis(1)
	MaxBackoff  = 30 * mgclock.Second
)

// MaxTries is the most times that one request is tried within the system. Whoever
// failed three times is told so: the next one to try is the caller.
const MaxTries = 3

// An Attempt is one that failed.
type Attempt struct {
	Problem    *mgproblem.Problem
	Idempotent bool           // may run twice
	Delivered  bool           // the caller has a part of the answer
	Tries      int            // made until now, at least 1
	Deadline   mgclock.Millis // when the answer must begin, 0 for none
}

// Next tells whether to try again, and after which span. It spends of the
// service's budget, but for what an upstream handed back as it left: that is
// bounded by what waited there, and it has cost the upstream nothing.
func (b *Budget) Next(now mgclock.Millis, a Attempt, r *rand.Rand) (mgclock.Millis, bool) {
	if a.Tries >= MaxTries || !Allowed(a) {
		return 0, false
	}
	wait := mgclock.Millis(0)
	if a.Problem.Kind() != mgproblem.Leaving {
		wait = Backoff(a.Tries, a.Problem.Retry(), r)
	}
	if a.Deadline > 0 && now+wait >= a.Deadline {
		return 0, false
	}
	if a.Problem.Kind() != mgproblem.Leaving && !b.Spend() {
		return 0, false
	}
	return wait, true
}

// Allowed reports whether an attempt may be repeated at all.
func Allowed(a Attempt) bool {
	if a.Delivered || !isTransient(a.Problem.Kind()) {
		return false
	}
	switch a.Problem.Outcome() {
	case mgproblem.NotRun:
		return true
	case mgproblem.Unknown:
		return a.Idempotent
	default:
		return false
	}
}

// isTransient reports whether a problem may be gone at another upstream or after a
// while.
func isTransient(kind mgproblem.Kind) bool {
	switch kind {
	case mgproblem.Crowded, mgproblem.Leaving, mgproblem.Unready, mgproblem.Behind,
		mgproblem.Incarnation, mgproblem.Interrupted, mgproblem.Unconfirmed, mgproblem.Internal:
		return true
	default:
		return false
	}
}

// Backoff returns how long to wait after a number of tries of which the last
// one was told to come back after told.
func Backoff(tries int, retryAfter mgclock.Millis, r *rand.Rand) mgclock.Millis {
	bound := MaxBackoff
	if shift := max(tries-1, 0); shift < 16 {
		bound = min(BaseBackoff<<shift, MaxBackoff)
	}
	return max(retryAfter, 0) + mgclock.Millis(r.Int64N(int64(bound)+1))
}
