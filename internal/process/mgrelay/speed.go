package mgrelay

import (
	"math"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgspeed"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// knownSpeeds returns what is known of the engines' speeds.
func (y *Relay) knownSpeeds() *mgspeed.Speeds {
	if y.spec.Speeds == nil {
		return nil
	}
	return y.spec.Speeds()
}

// engineAt returns the incarnation of an upstream.
func engineAt(host Host) mgspeed.Engine {
	return mgspeed.Engine{
		Upstream: host.Name,
		Start:    host.IncarnationStart,
	}
}

// speedOf returns by how much an upstream is expected to differ from a typical one. A long answer on an
// upstream that has just started can be slow throughout, so that one of unknown speed counts as the mean
// of the service's; short answers, for which that costs little, make its speed known.
func speedOf(speeds *mgspeed.Speeds, service string, host Host) (mgspeed.Deviation, bool) {
	engine := engineAt(host)
	engine.Service = service
	if speed, deviates := speeds.Of(engine); deviates {
		return speed, true
	}
	return speeds.OfUnmeasured(engine)
}

// beginMeasuring records the state of an upstream before an attempt is sent there, and whether
// the attempt is measured. Only streams of routes with a latency goal are, to services whose
// upstreams state their memory: these are engines, for which placements are assigned.
func (y *Relay) beginMeasuring(x *exchange, host Host) {
	x.learnsSpeed = y.spec.Learner != nil && x.call.Route.Kind() == mgtable.Stream &&
		x.call.Route.LatencyGoal() > 0 && upstreamCapacity(x.call.Table, x.service) > 0
	if x.learnsSpeed {
		x.engineState, x.learnsSpeed = y.engineState(x, host)
	}
}

// engineState returns what runs at an engine. It returns false if the engine's memory may be
// full: prompts then wait there for memory, and whether one is being prefilled isn't known.
func (y *Relay) engineState(x *exchange, host Host) (mgspeed.State, bool) {
	load := y.spec.Load.Load(host.Name).Add(y.otherEntriesLoad().Loads[host.Name])
	return mgspeed.State{
		Runs:    load.Runs,
		Pending: load.Pending,
	}, load.Memory <= upstreamCapacity(x.call.Table, x.service)
}

// recordFirstEvent records the time from an attempt to its first event.
func (y *Relay) recordFirstEvent(x *exchange, host Host) {
	if !x.learnsSpeed || x.copied || x.resumeFrom.copyRef != "" {
		return
	}
	now := y.spec.Clock.Now()
	y.spec.Learner.RecordFirst(now, y.measuredEngine(x, host), x.size.prompt, now-x.sentAt, x.engineState)
}

// recordSteps records the time that an engine took for each token of some events.
func (y *Relay) recordSteps(x *exchange, gen *generation, now mgclock.Millis, events int, perToken float64) {
	if !x.learnsSpeed {
		return
	}
	state, ok := y.engineState(x, gen.host)
	if !ok {
		return
	}
	tokens := events * gen.tokensPerEvent()
	elapsed := mgclock.Millis(math.Round(perToken * float64(tokens)))
	y.spec.Learner.RecordTokens(now, y.measuredEngine(x, gen.host), tokens, elapsed, state)
}

func (y *Relay) measuredEngine(x *exchange, host Host) mgspeed.Engine {
	engine := engineAt(host)
	engine.Service = x.service
	return engine
}
