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

// Other is an agent that may take a generation over.
type Other struct {
	Name  string
	Zone  string
	Agent mgrpc.Agent
}

const (
	// lastWord is the time before an engine's end at which what has not moved is
	// closed, so that its caller hears of it: some ways between processes.
	moveMargin = 300 * mgclock.Millis(1)
	// moveWait bounds one copy: one of 8,000 tokens between zones takes about
	// 900 ms, and the notice is one or two seconds.
	copyTimeout = 1500 * mgclock.Millis(1)
	// offerWait bounds the other agents' offers.
	offerTimeout = 200 * mgclock.Millis(1)
	// moveAsks is how many agents are asked to take a generation: of a few drawn
	// at random one has room, and asking all of a region costs hundreds of calls.
	maxMoveCandidates = 4
	// takeTries bounds the tries to hand a generation over. The other agent
	// takes it once, however often it is asked.
	maxHandOverTries = 3
	// takeSpan is how long a hand-over may wait in the other agent's record.
	handOverBudget = 10 * mgclock.Second
)

// beginMoves begins to move generations once the engine has said when it is
// gone. Moves go one after another: they share the engine's link.
func (a *Agent) startMoves() {
	a.mu.Lock()
	noticed := a.hasNotice
	a.mu.Unlock()
	if !noticed || a.spec.Others == nil || a.isMoving.Swap(true) {
		return
	}
	a.tasks.Go(func() {
		defer a.isMoving.Store(false)
		for a.lifetime.Err() == nil {
			now := a.spec.Clock.Now()
			g := a.nextMove(now)
			if g == nil {
				a.drainGenerations(now)
				if !a.hasRemaining() || !a.spec.Clock.Sleep(a.lifetime, mgmigration.RetrySpan) {
					return
				}
				continue
			}
			a.moveGeneration(a.lifetime, g)
		}
	})
}

// remains reports whether the notice holds and generations are left.
func (a *Agent) hasRemaining() bool {
	a.mu.Lock()
	noticed := a.hasNotice
	a.mu.Unlock()
	return noticed && a.Busy() > 0
}

// nextMove returns the generation that gains most by its move, or nil.
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

// hopeless returns the generations with tokens that aren't expected to end
// before the engine is gone.
func (a *Agent) unfinishable(now mgclock.Millis) []*generation {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.hasNotice {
		return nil
	}
	var unfinishable []*generation
	for id, g := range a.generations {
		if g.isMovable() && a.scheduler.Rest(id) > a.goneAt-moveMargin-now {
			unfinishable = append(unfinishable, g)
		}
	}
	return unfinishable
}

// movable reports whether a move may begin.
func (g *generation) isMovable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.isEndedLocked() && g.moveDone == nil && len(g.tokens) > 0 && !g.moveTried
}

// worth returns the order of a generation among those to move.
func (g *generation) movePriority() float64 {
	return mgmigration.Run{
		Prompt: g.spec.Tokens,
		Output: g.spec.Max,
		Made:   g.tokenCount(),
	}.Worth()
}

// mayMove reports whether there is time yet to move a generation.
func (a *Agent) canMove(g *generation) bool {
	return a.hasTimeToMove() && a.spec.Others != nil && g.isMovable()
}

// move moves one generation: copied while it goes on, then stopped and the rest
// copied, then handed over to the agent beside the other engine.
func (a *Agent) moveGeneration(ctx context.Context, g *generation) {
	var next successor
	defer func() { g.finishMove(next, a.spec.Clock.Now()) }()
	targets := a.moveTargets(ctx, g)
	noRoom := false // one of them had no room
	var m mgmigration.Move
	for len(targets) > 0 && !g.isEnded() && m.Step() != mgmigration.Done && (m.Step() == mgmigration.Stop || a.hasTimeToMove()) {
		if m.Step() == mgmigration.Wait {
			a.spec.Clock.Sleep(ctx, mgmigration.RetrySpan)
			m.Waited()
			if noRoom {
				targets, noRoom = a.moveTargets(ctx, g), false
			}
			continue
		}
		reply := a.copyTo(ctx, g, targets[0], m.Step() == mgmigration.Stop)
		m.Take(reply)
		if reply.Outcome == mgmigration.NoRoom {
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

// timeToMove reports whether the engine stays for long enough to begin a copy.
func (a *Agent) hasTimeToMove() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hasNotice && a.spec.Clock.Now() < a.goneAt-moveMargin
}

// tried notes that a move of the generation is over: without a successor it
// stays, and ends here or with the engine.
func (g *generation) markMoveTried() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.moveTried = true
}

// stopped makes sure that the engine runs the generation no more. Where its word
// on the stop was lost, it is cancelled; an engine that answers neither may run
// it yet, and nobody goes on with it.
func (a *Agent) confirmStopped(ctx context.Context, g *generation, m *mgmigration.Move) bool {
	if m.Stopped() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout.Duration())
	defer cancel()
	return a.spec.Engine.Cancel(ctx, g.id) == nil
}

// copyTo asks the engine for a copy.
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
	case mgengine.Refused(err):
		return mgmigration.Reply{
			Outcome: mgmigration.NoRoom,
		}
	default:
		return mgmigration.Reply{
			Outcome: mgmigration.Lost,
		}
	}
}
