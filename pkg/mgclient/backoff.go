package mgclient

import (
	"errors"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// The bounds of the backoff. The first is about a hundred round trips to an
// entry; the last lets eight tries outlast the replacement of a VM's process.
const (
	minBackoff = 100 * mgclock.Millis(1)
	maxBackoff = 5 * mgclock.Second
)

// backoff returns how long to wait before a try, the first being 1. The wait
// asked for is kept in full, and the jitter comes on top, so that callers who
// were turned away together don't come back together.
func backoff(try int, asked mgclock.Millis, jitter float64) mgclock.Millis {
	window := maxBackoff
	if doublings := try - 1; doublings < 6 {
		window = min(minBackoff<<doublings, maxBackoff)
	}
	return asked + mgclock.Millis(jitter*float64(window))
}

// passes reports whether a problem that is attested not run may pass by
// itself.
func isTransient(p *mgproblem.Problem) bool {
	if p.Outcome() != mgproblem.NotRun {
		return false
	}
	switch p.Kind() {
	case mgproblem.Capped, mgproblem.Crowded, mgproblem.Leaving, mgproblem.Unready,
		mgproblem.Behind, mgproblem.Incarnation, mgproblem.Tombstone:
		return true
	default:
		return p.Retry() > 0
	}
}

// elsewhere reports whether another entry may do better.
func shouldSwitchEntry(err error) bool {
	var problem *mgproblem.Problem
	if !errors.As(err, &problem) {
		return true
	}
	switch problem.Kind() {
	case mgproblem.Leaving, mgproblem.Unready, mgproblem.Behind:
		return true
	default:
		return false
	}
}

// retryOf returns the wait that err asks for.
func retryAfter(err error) mgclock.Millis {
	var problem *mgproblem.Problem
	if errors.As(err, &problem) {
		return problem.Retry()
	}
	return 0
}
