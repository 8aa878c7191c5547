package mgnode

import (
	"context"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// drainLook is the interval at which a drain looks whether work is left.
const drainPollInterval = 50 * mgclock.Millis(1)

// A Stop is the order of a planned stop.
type Drain struct {
	// Clock tells the time.
	Clock mgclock.Clock
	// Log tells operators of the drain.
	Log logr.Logger
	// Notice is the time between the loss of readiness and the first refusal.
	NoticeDelay mgclock.Millis
	// Longest bounds the whole drain.
	MaxDuration mgclock.Millis
	// Unready withdraws readiness.
	WithdrawReadiness func()
	// Leave refuses new work from now on.
	RefuseNewWork func()
	// Busy counts what a stop would cut off now.
	CountBusy func() int
}

// Run drains the process. It ends early when hurry ends, and returns the time by which
// the process should have answered what reached it meanwhile.
func (s Drain) Run(abort context.Context) mgclock.Millis {
	deadline := s.Clock.Now() + s.MaxDuration
	s.WithdrawReadiness()
	s.Log.Info("stopping: not ready any more", "busy", s.CountBusy())
	s.Clock.Sleep(abort, min(s.NoticeDelay, s.MaxDuration))
	s.RefuseNewWork()
	for s.CountBusy() > 0 && s.Clock.Now() < deadline {
		if !s.Clock.Sleep(abort, drainPollInterval) {
			deadline = s.Clock.Now()
		}
	}
	s.Log.Info("drained", "unfinished", s.CountBusy())
	return deadline
}
