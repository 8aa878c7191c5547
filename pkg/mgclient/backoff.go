package mgclient

import (
	"errors"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Limits of the backoff. The minimum is about a hundred round trips to an entry;
// with the maximum, eight attempts take longer than the replacement of a VM's
// process.
const (
	minBackoff = 100 * mgclock.Millis(1)
	maxBackoff = 5 * mgclock.Second
)

// backoff returns the delay after a failed attempt, counted from 1. The delay
// requested by the system is kept in full and the jitter is added to it, so that
// callers refused at the same time don't retry at the same time.
func backoff(try int, asked mgclock.Millis, jitter float64) mgclock.Millis {
	window := maxBackoff
	if doublings := try - 1; doublings < 6 {
		window = min(minBackoff<<doublings, maxBackoff)
	}
	return asked + mgclock.Millis(jitter*float64(window))
}

// isTransient reports whether a problem may go away by itself and is attested
// not run, so that a retry is safe.
func isTransient(p *mgproblem.Problem) bool {
	if p.Outcome() != mgproblem.NotRun {
		return false
	}
	switch p.Kind() {
	case mgproblem.LimitReached, mgproblem.Overloaded, mgproblem.Leaving, mgproblem.NotReady,
		mgproblem.OutdatedVersion, mgproblem.Incarnation, mgproblem.Tombstone:
		return true
	default:
		return p.RetryAfter() > 0
	}
}

// shouldSwitchEntry reports whether another entry may succeed where this one
// failed.
func shouldSwitchEntry(err error) bool {
	var problem *mgproblem.Problem
	if !errors.As(err, &problem) {
		return true
	}
	switch problem.Kind() {
	case mgproblem.Leaving, mgproblem.NotReady, mgproblem.OutdatedVersion:
		return true
	default:
		return false
	}
}

// retryAfter returns the delay that err requests, or 0.
func retryAfter(err error) mgclock.Millis {
	var problem *mgproblem.Problem
	if errors.As(err, &problem) {
		return problem.RetryAfter()
	}
	return 0
}
