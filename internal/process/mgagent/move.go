package mgagent

import (
	"context"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// OtherAgent is an agent that may take over a generation.
type OtherAgent struct {
	Name  string
	Zone  string
	Agent mgrpc.Agent
}

const (
	// moveMargin is how long before an engine's end the generations that have
	// not moved are closed, so that their callers are informed: several network
	// delays between processes.
	moveMargin = 300 * mgclock.Millis(1)
	// copyTimeout limits one copy. A copy of 8,000 tokens between zones takes
	// about 900 ms, and the notice is one or two seconds.
	copyTimeout = 1500 * mgclock.Millis(1)
	// offerTimeout limits the wait for other agents' offers and for other short
	// calls during a move.
	offerTimeout = 200 * mgclock.Millis(1)
	// maxMoveCandidates is how many agents are probed for a move. Among a few
	// random ones at least one usually has capacity, and probing a whole region
	// would cost hundreds of calls.
	maxMoveCandidates = 4
	// maxHandOverTries is the maximum number of hand-over requests for a
	// generation. The other agent takes it over once, however often it is asked.
	maxHandOverTries = 3
	// handOverBudget is how long a hand-over may wait in the other agent's
	// ledger.
	handOverBudget = 10 * mgclock.Second
)

// startMoves starts moving generations once the engine has announced when it
// will be gone. Moves run one after another because they share the engine's
// network link.
func (a *Agent) startMoves() {
	a.mu.Lock()
	noticed := a.hasNotice
	a.mu.Unlock()
	if !noticed || a.spec.OtherAgents == nil || a.isMoving.Swap(true) {
		return
	}
	a.tasks.Go(func() {
		defer a.isMoving.Store(false)
		for a.lifetime.Err() == nil {
			now := a.spec.Clock.Now()
			g := a.nextMove(now)
			if g == nil {
				a.drainGenerations(now)
				if !a.hasRemaining() || !a.spec.Clock.Sleep(a.lifetime, mgmigration.RetryDelay) {
					return
				}
				continue
			}
			a.moveGeneration(a.lifetime, g)
		}
	})
}

// hasRemaining reports whether the notice still holds and generations or calls
// are left.
func (a *Agent) hasRemaining() bool {
	a.mu.Lock()
	noticed := a.hasNotice
	a.mu.Unlock()
	return noticed && a.Busy() > 0
}

// nextMove returns the generation that gains most from a move and marks it as
// being moved, or returns nil.
func (a *Agent) nextMove(now mgclock.Millis) *generation {
	var best *generation
	maxPriority := 0.0
	for _, g := range a.unfinishable(now) {
		if priority := g.movePriority(); best == nil || priority > maxPriority {
			best, maxPriority = g, priority
		}
	}
	if best == nil || !best.beginMove() {
		return nil
	}
	return best
}

// unfinishable returns the generations with tokens that aren't expected to
// finish before the engine is gone.
func (a *Agent) unfinishable(now mgclock.Millis) []*generation {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.hasNotice {
		return nil
	}
	var unfinishable []*generation
	for id, g := range a.generations {
		if g.isMovable() && a.scheduler.Remaining(id) > a.goneAt-moveMargin-now {
			unfinishable = append(unfinishable, g)
		}
	}
	return unfinishable
}

// isMovable reports whether a move may begin.
func (g *generation) isMovable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.isEndedLocked() && g.moveDone == nil && len(g.tokens) > 0 && !g.moveTried
}

// movePriority returns the generation's priority among those to move.
func (g *generation) movePriority() float64 {
	return mgmigration.Run{
		Prompt:         g.spec.PromptTokens,
		ExpectedOutput: g.spec.MaxTokens,
		Generated:      g.tokenCount(),
	}.Benefit()
}

// canMove reports whether there is still time to move a generation.
func (a *Agent) canMove(g *generation) bool {
	return a.hasTimeToMove() && a.spec.OtherAgents != nil && g.isMovable()
}

// moveGeneration moves one generation. It is copied while it runs, then stopped,
// the rest is copied, and the agent of the other engine takes it over.
func (a *Agent) moveGeneration(ctx context.Context, g *generation) {
	var next successor
	defer func() { g.finishMove(next, a.spec.Clock.Now()) }()
	targets := a.moveTargets(ctx, g)
	noRoom := false // a target had no capacity
	var m mgmigration.Move
	for len(targets) > 0 && !g.isEnded() && m.Step() != mgmigration.Done && (m.Step() == mgmigration.Stop || a.hasTimeToMove()) {
		if m.Step() == mgmigration.Wait {
			a.spec.Clock.Sleep(ctx, mgmigration.RetryDelay)
			m.EndWait()
			if noRoom {
				targets, noRoom = a.moveTargets(ctx, g), false
			}
			continue
		}
		reply := a.copyTo(ctx, g, targets[0], m.Step() == mgmigration.Stop)
		m.HandleReply(reply)
		if reply.Outcome == mgmigration.NoCapacity {
			noRoom = true
			if len(targets) > 1 {
				targets = targets[1:]
			}
		}
	}
	if slices.Contains(m.Places(), mgmigration.AtDestination) && a.confirmStopped(ctx, g, &m) {
		next = a.handOver(ctx, g, targets[0], m.Handle())
	}
	g.markMoveTried()
	a.spec.Metrics.Counter("moves").Inc(1)
	message := "generation moved"
	if next.agent == "" {
		message = "generation was not moved"
	}
	a.spec.Log.Info(message, mglog.Attempt, g.id, mglog.Upstream, a.spec.Settings.Upstream,
		"to", next.agent, "stopped", m.Stopped(), "tokens", g.tokenCount(), "targets", len(targets))
}

// hasTimeToMove reports whether the engine stays for long enough to start a
// copy.
func (a *Agent) hasTimeToMove() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hasNotice && a.spec.Clock.Now() < a.goneAt-moveMargin
}

// markMoveTried records that a move of the generation has ended. Without a
// successor the generation stays, and ends here or with the engine.
func (g *generation) markMoveTried() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.moveTried = true
}

// confirmStopped makes sure that the engine no longer runs the generation. If
// the answer to the stop was lost, the generation is cancelled. If the engine
// doesn't answer that either, it may still be running it, so no other agent may
// continue it.
func (a *Agent) confirmStopped(ctx context.Context, g *generation, m *mgmigration.Move) bool {
	if m.Stopped() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout.Duration())
	defer cancel()
	return a.spec.Engine.Cancel(ctx, g.id) == nil
}

// copyTo asks the engine to copy the generation to the target. With last set,
// the engine stops the generation and copies the rest.
func (a *Agent) copyTo(ctx context.Context, g *generation, to moveTarget, last bool) mgmigration.Reply {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout.Duration())
	defer cancel()
	copied, err := a.spec.Engine.Move(ctx, mgengine.MoveSpec{
		ID:   g.id,
		To:   to.offer.GetEngine(),
		Last: last,
	})
	switch {
	case err == nil:
		return mgmigration.Reply{
			Outcome: mgmigration.Copied,
			Handle:  copied.Name,
		}
	case mgengine.KindOf(err) == mgengine.Missing:
		return mgmigration.Reply{
			Outcome: mgmigration.Absent,
		}
	case mgengine.IsRefusal(err):
		return mgmigration.Reply{
			Outcome: mgmigration.NoCapacity,
		}
	default:
		return mgmigration.Reply{
			Outcome: mgmigration.Lost,
		}
	}
}
