package mgnode

import (
	"context"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// statePollInterval is the interval at which a drain checks whether work is in progress,
// and at which a start checks whether a configuration is in force.
const statePollInterval = 50 * mgclock.Millis(1)

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
	// RefuseNewWork has the process refuse new work from now on.
	RefuseNewWork func()
	// CountBusy counts the work in progress, which a stop would interrupt.
	CountBusy func() int
}

// Run drains the process. It ends early when abort ends. It returns the deadline
// of the responses to the requests that reached the process during the drain. That is the
// end of MaxDuration, also if the work has ended earlier. If abort ended while work was in
// progress, it is the time of that end.
func (d Drain) Run(abort context.Context) mgclock.Millis {
	deadline := d.Clock.Now() + d.MaxDuration
	d.WithdrawReadiness()
	d.Log.Info("stopping: readiness is withdrawn", "busy", d.CountBusy())
	d.Clock.Sleep(abort, min(d.NoticeDelay, d.MaxDuration))
	d.RefuseNewWork()
	for d.CountBusy() > 0 && d.Clock.Now() < deadline {
		if !d.Clock.Sleep(abort, statePollInterval) {
			deadline = d.Clock.Now()
		}
	}
	d.Log.Info("drained", "unfinished", d.CountBusy())
	return deadline
}
