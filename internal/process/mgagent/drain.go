package mgagent

import (
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgpace"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// notice keeps when the engine is gone, as it says. Its reports lag, and each
// tells the span that was left when it was made: the earliest end is the
// nearest to the truth. An engine that stays after all has no end.
func (a *Agent) notice(load mgengine.Load) {
	end := a.spec.Clock.Now() + load.Notice
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !load.Leaving:
		a.noticed = false
	case load.Notice > 0 && (!a.noticed || end < a.gone):
		a.noticed = true
		a.gone = end
	}
}

// drain ends what can't end in time at an engine that is to be gone, while its
// callers can still be told.
func (a *Agent) drain(now mgclock.Millis) {
	for g, fate := range a.fates(now) {
		if fate == mgpace.Close && (g.departing() || a.mayMove(g)) {
			continue
		}
		if !g.finish("", reclaimed(fate), now) {
			continue
		}
		a.spec.Metrics.Counter("drained").Inc(1)
		g.stop() // its reader tells the engine and frees its place
	}
}

// fates returns what becomes of the generations that don't stay.
func (a *Agent) fates(now mgclock.Millis) map[*generation]mgpace.Fate {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.noticed {
		return nil
	}
	fates := map[*generation]mgpace.Fate{}
	for id, g := range a.generations {
		fate := mgpace.Drain(now, a.gone, mgpace.Stream{
			Rest:      a.scheduler.Rest(id),
			Delivered: g.delivered(),
			Whole:     g.whole,
		})
		if fate != mgpace.Stay && !g.ended() {
			fates[g] = fate
		}
	}
	return fates
}

// reclaimed is the last word on a generation that an engine has no time for.
// The engine has begun it, so that nobody can say that it did not run.
func reclaimed(fate mgpace.Fate) *mgproblem.Problem {
	if fate == mgpace.Move {
		return mgproblem.New(mgproblem.Leaving, mgproblem.Unknown,
			"the engine is gone before the answer would end", "start it at another upstream")
	}
	return mgproblem.New(mgproblem.Leaving, mgproblem.Unknown,
		"the engine is gone in a moment, and the answer has not ended", "send the request again for a new answer")
}
