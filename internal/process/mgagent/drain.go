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
func (a *Agent) updateReclaimTime(load mgengine.Load) {
	end := a.spec.Clock.Now() + load.Notice
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !load.Leaving:
		a.hasNotice = false
	case load.Notice > 0 && (!a.hasNotice || end < a.goneAt):
		a.hasNotice = true
		a.goneAt = end
	}
}

// drain ends what can't end in time at an engine that is to be gone, while its
// callers can still be told.
func (a *Agent) drainGenerations(now mgclock.Millis) {
	for g, action := range a.drainActions(now) {
		if action == mgpace.Close && (g.isMoving() || a.canMove(g)) {
			continue
		}
		if !g.finish("", reclaimedProblem(action), now) {
			continue
		}
		a.spec.Metrics.Counter("drained").Inc(1)
		g.cancelStream() // its reader tells the engine and frees its place
	}
}

// fates returns what becomes of the generations that don't stay.
func (a *Agent) drainActions(now mgclock.Millis) map[*generation]mgpace.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.hasNotice {
		return nil
	}
	actions := map[*generation]mgpace.Action{}
	for id, g := range a.generations {
		action := mgpace.ActionFor(now, a.goneAt, mgpace.Stream{
			Remaining: a.scheduler.Rest(id),
			Delivered: g.deliveredTokens(),
			Whole:     g.wholeOnly,
		})
		if action != mgpace.Stay && !g.isEnded() {
			actions[g] = action
		}
	}
	return actions
}

// reclaimed is the last word on a generation that an engine has no time for.
// The engine has begun it, so that nobody can say that it did not run.
func reclaimedProblem(action mgpace.Action) *mgproblem.Problem {
	if action == mgpace.Restart {
		return mgproblem.New(mgproblem.Leaving, mgproblem.Unknown,
			"the engine is gone before the answer would end", "start it at another upstream")
	}
	return mgproblem.New(mgproblem.Leaving, mgproblem.Unknown,
		"the engine is gone in a moment, and the answer has not ended", "send the request again for a new answer")
}
