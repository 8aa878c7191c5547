package mgagent

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// moveTarget is an agent that may continue a generation, with its offer.
type moveTarget struct {
	other OtherAgent
	offer *mgrpc.Offer
}

// moveTargets returns the agents that offer to continue a generation, ordered by
// their expected wait plus a penalty for other availability zones.
func (a *Agent) moveTargets(ctx context.Context, g *generation) []moveTarget {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout.Duration())
	defer cancel()
	others := a.moveCandidates(g)
	found := make(chan moveTarget, len(others))
	for _, other := range others {
		go func() {
			offer, err := other.Agent.Probe(ctx, &mgrpc.ProbeRequest{
				Account: g.account,
				Service: g.service,
				Model:   g.spec.Model,
				Prefix:  g.spec.Prefix,
				Prompt:  uint32(g.spec.PromptTokens + g.tokenCount()),
				Budget:  int64(handOverBudget),
			})
			if err != nil {
				offer = nil
			}
			found <- moveTarget{
				other: other,
				offer: offer,
			}
		}()
	}
	var usable []moveTarget
	for range others {
		if t := <-found; t.offer != nil && !t.offer.GetLeaving() && t.offer.GetEngine() != "" {
			usable = append(usable, t)
		}
	}
	slices.SortStableFunc(usable, func(x, y moveTarget) int { return int(a.targetCost(x) - a.targetCost(y)) })
	return usable
}

// moveCandidates returns the agents to probe: at most maxMoveCandidates, in
// random order with those of this availability zone first. An agent that held
// the generation before is excluded: it has a record of it as finished and would
// redirect the readers back here.
func (a *Agent) moveCandidates(g *generation) []OtherAgent {
	others := a.spec.OtherAgents(g.spec.Model)
	others = slices.DeleteFunc(others, func(o OtherAgent) bool { return slices.Contains(g.previousAgents, o.Name) })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(x, y OtherAgent) int { return a.zoneDistance(x) - a.zoneDistance(y) })
	return others[:min(len(others), maxMoveCandidates)]
}

// zoneDistance returns 0 for an agent of this availability zone and 1 for
// others.
func (a *Agent) zoneDistance(o OtherAgent) int {
	if o.Zone == a.spec.Settings.Zone {
		return 0
	}
	return 1
}

// crossZonePenalty is added to the expected wait of a target in another
// availability zone: the copy takes twice as long, some 200 ms more.
const crossZonePenalty = 200 * mgclock.Millis(1)

func (a *Agent) targetCost(t moveTarget) mgclock.Millis {
	return mgclock.Millis(t.offer.GetWait()) + crossZonePenalty*mgclock.Millis(a.zoneDistance(t.other))
}

// handOver asks the agent of the other engine to continue the generation. It
// returns that agent, or the zero successor if it refuses or doesn't answer.
func (a *Agent) handOver(ctx context.Context, g *generation, to moveTarget, handle string) successor {
	request := &mgrpc.StartRequest{
		Attempt:     g.id,
		Incarnation: to.offer.GetIncarnation(),
		Stamp:       to.offer.GetStamp(),
		Account:     g.account,
		Service:     g.service,
		Model:       g.spec.Model,
		Prompt:      g.spec.Prompt,
		Max:         uint32(g.spec.MaxTokens),
		Budget:      int64(handOverBudget),
		Prefix:      g.spec.Prefix,
		Whole:       g.wholeOnly,
		Copy:        handle,
		Had:         g.tokensSoFar(),
		Via:         append(slices.Clone(g.previousAgents), a.spec.Settings.Name),
	}
	for range maxHandOverTries {
		reply, err := a.startAtTarget(ctx, to, request)
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

func (a *Agent) startAtTarget(ctx context.Context, to moveTarget, request *mgrpc.StartRequest) (*mgrpc.StartReply, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout.Duration())
	defer cancel()
	return to.other.Agent.Start(ctx, request)
}

// takeOver continues another agent's generation, of which this agent's engine
// holds a copy. It counts against memory and batch but skips the waiting list,
// because its caller already has its first tokens.
func (a *Agent) takeOver(table *mgtable.Table, in *mgrpc.StartRequest, now mgclock.Millis) *mgproblem.Problem {
	if a.isLeaving.Load() {
		return mgproblem.New(mgproblem.Leaving, mgproblem.NotRun,
			"the upstream leaves, too", "hand the generation over to another one")
	}
	request, g := a.prepare(table, in, now)
	a.mu.Lock()
	a.generations[g.id] = g
	a.scheduler.Resume(now, request, len(g.tokens))
	a.mu.Unlock()
	a.tasks.Go(func() { a.runGeneration(a.lifetime, g) })
	return nil
}
