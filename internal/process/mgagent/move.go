package mgagent

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
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
	lastWord = 300 * mgclock.Millis(1)
	// moveWait bounds one copy: one of 8,000 tokens between zones takes about
	// 900 ms, and the notice is one or two seconds.
	moveWait = 1500 * mgclock.Millis(1)
	// offerWait bounds the other agents' offers.
	offerWait = 200 * mgclock.Millis(1)
	// moveAsks is how many agents are asked to take a generation: of a few drawn
	// at random one has room, and asking all of a region costs hundreds of calls.
	moveAsks = 4
	// takeTries bounds the tries to hand a generation over. The other agent
	// takes it once, however often it is asked.
	takeTries = 3
	// takeSpan is how long a hand-over may wait in the other agent's record.
	takeSpan = 10 * mgclock.Second
)

// target is where a generation may go.
type target struct {
	other Other
	offer *mgrpc.Offer
}

// beginMoves begins to move generations once the engine has said when it is
// gone. Moves go one after another: they share the engine's link.
func (a *Agent) beginMoves() {
	a.mu.Lock()
	noticed := a.noticed
	a.mu.Unlock()
	if !noticed || a.spec.Others == nil || a.moving.Swap(true) {
		return
	}
	a.running.Go(func() {
		defer a.moving.Store(false)
		for a.life.Err() == nil {
			now := a.spec.Clock.Now()
			g := a.nextMove(now)
			if g == nil {
				a.drain(now)
				if !a.remains() || !a.spec.Clock.Sleep(a.life, mgmigration.RetrySpan) {
					return
				}
				continue
			}
			a.move(a.life, g)
		}
	})
}

// remains reports whether the notice holds and generations are left.
func (a *Agent) remains() bool {
	a.mu.Lock()
	noticed := a.noticed
	a.mu.Unlock()
	return noticed && a.Busy() > 0
}

// nextMove returns the generation that gains most by its move, or nil.
func (a *Agent) nextMove(now mgclock.Millis) *generation {
	var first *generation
	most := 0.0
	for _, g := range a.hopeless(now) {
		if worth := g.worth(); first == nil || worth > most {
			first, most = g, worth
		}
	}
	if first == nil || !first.part() {
		return nil
	}
	return first
}

// hopeless returns the generations with tokens that aren't expected to end
// before the engine is gone.
func (a *Agent) hopeless(now mgclock.Millis) []*generation {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.noticed {
		return nil
	}
	var list []*generation
	for id, g := range a.generations {
		if g.movable() && a.scheduler.Rest(id) > a.gone-lastWord-now {
			list = append(list, g)
		}
	}
	return list
}

// movable reports whether a move may begin.
func (g *generation) movable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.endedLocked() && g.parting == nil && len(g.tokens) > 0 && !g.unmoved
}

// worth returns the order of a generation among those to move.
func (g *generation) worth() float64 {
	return mgmigration.Run{
		Prompt: g.spec.Tokens,
		Output: g.spec.Max,
		Made:   g.produced(),
	}.Worth()
}

// mayMove reports whether there is time yet to move a generation.
func (a *Agent) mayMove(g *generation) bool {
	return a.timeToMove() && a.spec.Others != nil && g.movable()
}

// move moves one generation: copied while it goes on, then stopped and the rest
// copied, then handed over to the agent beside the other engine.
func (a *Agent) move(ctx context.Context, g *generation) {
	var next successor
	defer func() { g.parted(next, a.spec.Clock.Now()) }()
	targets := a.targets(ctx, g)
	full := false // one of them had no room
	var m mgmigration.Move
	for len(targets) > 0 && !g.ended() && m.Step() != mgmigration.Done && (m.Step() == mgmigration.Stop || a.timeToMove()) {
		if m.Step() == mgmigration.Wait {
			a.spec.Clock.Sleep(ctx, mgmigration.RetrySpan)
			m.Waited()
			if full {
				targets, full = a.targets(ctx, g), false
			}
			continue
		}
		reply := a.copyTo(ctx, g, targets[0], m.Step() == mgmigration.Stop)
		m.Take(reply)
		if reply.Outcome == mgmigration.NoRoom {
			full = true
			if len(targets) > 1 {
				targets = targets[1:]
			}
		}
	}
	if slices.Contains(m.Places(), mgmigration.AtDestination) && a.stopped(ctx, g, &m) {
		next = a.handOver(ctx, g, targets[0], m.Handle())
	}
	g.tried()
	a.spec.Metrics.Counter("moves").Inc(1)
	what := "generation moved"
	if next.agent == "" {
		what = "generation was not moved"
	}
	a.spec.Log.Info(what, mglog.Attempt, g.id, mglog.Upstream, a.spec.Settings.Upstream,
		"to", next.agent, "stopped", m.Stopped(), "tokens", g.produced(), "targets", len(targets))
}

// timeToMove reports whether the engine stays for long enough to begin a copy.
func (a *Agent) timeToMove() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.noticed && a.spec.Clock.Now() < a.gone-lastWord
}

// tried notes that a move of the generation is over: without a successor it
// stays, and ends here or with the engine.
func (g *generation) tried() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unmoved = true
}

// stopped makes sure that the engine runs the generation no more. Where its word
// on the stop was lost, it is cancelled; an engine that answers neither may run
// it yet, and nobody goes on with it.
func (a *Agent) stopped(ctx context.Context, g *generation, m *mgmigration.Move) bool {
	if m.Stopped() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, offerWait.Duration())
	defer cancel()
	return a.spec.Engine.Cancel(ctx, g.id) == nil
}

// copyTo asks the engine for a copy.
func (a *Agent) copyTo(ctx context.Context, g *generation, to target, last bool) mgmigration.Reply {
	ctx, cancel := context.WithTimeout(ctx, moveWait.Duration())
	defer cancel()
	made, err := a.spec.Engine.Move(ctx, mgengine.MoveSpec{
		ID:   g.id,
		To:   to.offer.GetEngine(),
		Last: last,
	})
	switch {
	case err == nil:
		return mgmigration.Reply{
			Outcome: mgmigration.Copied,
			Handle:  made.Name,
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

// targets returns where a generation may go, the one that would begin soonest
// first, those of this availability zone before others.
func (a *Agent) targets(ctx context.Context, g *generation) []target {
	ctx, cancel := context.WithTimeout(ctx, offerWait.Duration())
	defer cancel()
	others := a.candidates(g)
	found := make(chan target, len(others))
	for _, other := range others {
		go func() {
			offer, err := other.Agent.Probe(ctx, &mgrpc.ProbeRequest{
				Account: g.account,
				Service: g.service,
				Model:   g.spec.Model,
				Prefix:  g.spec.Prefix,
				Prompt:  uint32(g.spec.Tokens + g.produced()),
				Budget:  int64(takeSpan),
			})
			if err != nil {
				offer = nil
			}
			found <- target{
				other: other,
				offer: offer,
			}
		}()
	}
	var list []target
	for range others {
		if t := <-found; t.offer != nil && !t.offer.GetLeaving() && t.offer.GetEngine() != "" {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(x, y target) int { return int(a.distance(x) - a.distance(y)) })
	return list
}

// candidates returns the agents to ask: some, those of this availability zone
// first. One that had the generation before has a record of it as finished, and
// would send its readers back here.
func (a *Agent) candidates(g *generation) []Other {
	others := a.spec.Others(g.spec.Model)
	others = slices.DeleteFunc(others, func(o Other) bool { return slices.Contains(g.via, o.Name) })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(x, y Other) int { return a.apart(x) - a.apart(y) })
	return others[:min(len(others), moveAsks)]
}

// apart returns 0 for an agent of this availability zone, 1 for others.
func (a *Agent) apart(o Other) int {
	if o.Zone == a.spec.Settings.Zone {
		return 0
	}
	return 1
}

// farWait is what another availability zone counts for beside an offer's wait:
// the copy takes twice as long, some 200 ms more.
const farWait = 200 * mgclock.Millis(1)

func (a *Agent) distance(t target) mgclock.Millis {
	return mgclock.Millis(t.offer.GetWait()) + farWait*mgclock.Millis(a.apart(t.other))
}

// handOver has the agent beside the other engine go on with the generation, and
// returns it, or nobody when it refuses or doesn't answer.
func (a *Agent) handOver(ctx context.Context, g *generation, to target, handle string) successor {
	request := &mgrpc.StartRequest{
		Attempt:     g.id,
		Incarnation: to.offer.GetIncarnation(),
		Stamp:       to.offer.GetStamp(),
		Account:     g.account,
		Service:     g.service,
		Model:       g.spec.Model,
		Prompt:      g.spec.Prompt,
		Max:         uint32(g.spec.Max),
		Budget:      int64(takeSpan),
		Prefix:      g.spec.Prefix,
		Whole:       g.whole,
		Copy:        handle,
		Had:         g.text(),
		Via:         append(slices.Clone(g.via), a.spec.Settings.Name),
	}
	for range takeTries {
		reply, err := a.takeOnce(ctx, to, request)
		if err != nil {
			continue
		}
		if fault := reply.GetFault(); fault != nil {
			a.spec.Log.Info("a generation was not taken over", mglog.Attempt, g.id, "by", to.other.Name, "why", fault.GetDetail())
			return successor{}
		}
		return successor{
			agent:       to.other.Name,
			incarnation: to.offer.GetIncarnation(),
		}
	}
	a.spec.Log.Info("a generation was not taken over: no answer", mglog.Attempt, g.id, "by", to.other.Name)
	return successor{}
}

func (a *Agent) takeOnce(ctx context.Context, to target, request *mgrpc.StartRequest) (*mgrpc.StartReply, error) {
	ctx, cancel := context.WithTimeout(ctx, offerWait.Duration())
	defer cancel()
	return to.other.Agent.Start(ctx, request)
}

// takeOver goes on with a generation of another agent's, whose copy this one's
// engine holds. It counts against memory and batch, and waits in no queue: its
// caller has its first tokens.
func (a *Agent) takeOver(table *mgtable.Table, in *mgrpc.StartRequest, now mgclock.Millis) *mgproblem.Problem {
	if a.leaving.Load() {
		return mgproblem.New(mgproblem.Leaving, mgproblem.NotRun,
			"the upstream leaves, too", "hand the generation over to another one")
	}
	request, g := a.prepare(table, in, now)
	a.mu.Lock()
	a.generations[g.id] = g
	a.scheduler.Resume(now, request, len(g.tokens))
	a.mu.Unlock()
	a.running.Go(func() { a.run(a.life, g) })
	return nil
}
