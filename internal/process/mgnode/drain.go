package mgnode

import (
	"context"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// drainPollInterval is the interval at which a drain checks whether work is in progress.
const drainPollInterval = 50 * mgclock.Millis(1)

// A Drain describes the planned stop of a process.
type Drain struct {
	Clock mgclock.Clock
	Log   logr.Logger
	// NoticeDelay is the time between the withdrawal of readiness and the first refusal.
	NoticeDelay mgclock.Millis
	// MaxDuration limits the whole drain.
	MaxDuration mgclock.Millis
	// WithdrawReadiness has the process report that it is not ready.
	WithdrawReadiness func()
	// RefuseNewWork refuses new work from now on.
	RefuseNewWork func()
	// CountBusy counts the work in progress, which a stop would interrupt.
	CountBusy func() int
}

// Run drains the process. It ends early when abort ends, and returns the time by which
// the process should have responded to the requests that reached it meanwhile.
func (s Drain) Run(abort context.Context) mgclock.Millis {
	deadline := s.Clock.Now() + s.MaxDuration
	s.WithdrawReadiness()
	s.Log.Info("stopping: readiness is withdrawn", "busy", s.CountBusy())
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
