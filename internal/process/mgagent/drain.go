package mgagent

import (
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgpace"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// updateReclaimTime records when the engine will be gone, according to its load
// report. Reports lag, and each gives the time that was left when it was made,
// so the earliest end is the most accurate. An engine that is not leaving after
// all has no end.
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

// drainGenerations ends the generations that can't finish before the engine is
// gone, while their callers can still be informed.
func (a *Agent) drainGenerations(now mgclock.Millis) {
	for g, action := range a.drainActions(now) {
		if action == mgpace.Close && (g.isMoving() || a.canMove(g)) {
			continue
		}
		if !g.finish("", reclaimedProblem(action), now) {
			continue
		}
		a.spec.Metrics.Counter("drained").Inc(1)
		g.cancelStream() // readTokens then cancels it at the engine and releases its capacity
	}
}

// drainActions returns the action for each generation that should not stay at
// the engine.
func (a *Agent) drainActions(now mgclock.Millis) map[*generation]mgpace.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.hasNotice {
		return nil
	}
	actions := map[*generation]mgpace.Action{}
	for id, g := range a.generations {
		action := mgpace.ActionFor(now, a.goneAt, mgpace.Stream{
			Remaining: a.scheduler.Remaining(id),
			Delivered: g.deliveredTokens(),
			Whole:     g.wholeOnly,
		})
		if action != mgpace.Stay && !g.isEnded() {
			actions[g] = action
		}
	}
	return actions
}

// reclaimedProblem is reported for a generation that its engine has no time to
// finish. The engine has started it, so its outcome can't be "not run".
func reclaimedProblem(action mgpace.Action) *mgproblem.Problem {
	if action == mgpace.Restart {
		return mgproblem.New(mgproblem.Leaving, mgproblem.Unknown,
			"the engine is gone before the answer would end", "start it at another upstream")
	}
	return mgproblem.New(mgproblem.Leaving, mgproblem.Unknown,
		"the engine is gone in a moment, and the answer has not ended", "send the request again for a new answer")
}
