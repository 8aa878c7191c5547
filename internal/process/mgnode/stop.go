package mgnode

import (
	"context"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// drainLook is the interval at which a drain looks whether work is left.
const drainLook = 50 * mgclock.Millis(1)

// A Stop is the order of a planned stop.
type Stop struct {
	// Clock tells the time.
	Clock mgclock.Clock
	// Log tells operators of the drain.
	Log logr.Logger
	// Notice is the time between the loss of readiness and the first refusal.
	Notice mgclock.Millis
	// Longest bounds the whole drain.
	Longest mgclock.Millis
	// Unready withdraws readiness.
	Unready func()
	// Leave refuses new work from now on.
	Leave func()
	// Busy counts what a stop would cut off now.
	Busy func() int
}

// Run drains the process. It ends early when hurry ends, and returns the time by which
// the process should have answered what reached it meanwhile.
func (s Stop) Run(hurry context.Context) mgclock.Millis {
	end := s.Clock.Now() + s.Longest
	s.Unready()
	s.Log.Info("stopping: not ready any more", "busy", s.Busy())
	s.Clock.Sleep(hurry, min(s.Notice, s.Longest))
	s.Leave()
	for s.Busy() > 0 && s.Clock.Now() < end {
		if !s.Clock.Sleep(hurry, drainLook) {
			end = s.Clock.Now()
		}
	}
	s.Log.Info("drained", "unfinished", s.Busy())
	return end
}
