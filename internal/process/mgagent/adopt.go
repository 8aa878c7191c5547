package mgagent

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgadmission"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgscheduler"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const (
	// followEvery is the interval of the reads of the engine's load and cache
	// events, which lag by about as much.
	pollInterval = 500 * mgclock.Millis(1)
	// followWait bounds one such read.
	pollTimeout = mgclock.Second
)

// adopt picks up the generations that a predecessor left in the engine, so
// that their memory is counted and their readers find them. An engine that
// can't be asked now is asked again when a reader comes.
func (a *Agent) adopt(ctx context.Context) {
	if !a.upstreamIsEngine() {
		return
	}
	held, err := a.listGenerations(ctx)
	if err != nil {
		return
	}
	for _, found := range held {
		a.adoptOne(ctx, found)
	}
}

func (a *Agent) listGenerations(ctx context.Context) ([]mgengine.Generation, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	return a.spec.Engine.List(ctx)
}

// adoptOne reads a generation of the engine's from its first token on.
func (a *Agent) adoptOne(ctx context.Context, found mgengine.Generation) *generation {
	now := a.spec.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if g := a.generations[found.ID]; g != nil {
		return g
	}
	g := newGeneration(found.ID, "", "", mgengine.StartSpec{
		ID:    found.ID,
		Model: found.Model,
	}, now)
	g.priorDelivered = int(found.Produced)
	a.generations[g.id] = g
	a.counts.adopted++
	if !found.Done {
		// Its memory counts; the engine doesn't say what its prompt took.
		a.scheduler.Resume(now, mgscheduler.Request{
			ID:     found.ID,
			Model:  found.Model,
			Weight: 1,
		}, int(found.Produced))
	}
	a.tasks.Go(func() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		g.setCancel(cancel)
		a.readTokens(ctx, g)
	})
	return g
}

// find returns a generation, adopting it when only the engine has it.
func (a *Agent) find(ctx context.Context, id string) *generation {
	if g := a.generation(id); g != nil {
		return g
	}
	held, err := a.listGenerations(ctx)
	if err != nil {
		return nil
	}
	for _, found := range held {
		if found.ID == id {
			// It is read on when this reader goes, and no longer than the agent
			// runs: its stop waits for it.
			return a.adoptOne(a.lifetime, found)
		}
	}
	return nil
}

// besideEngine reports whether the upstream is an engine, as one that no table
// names is taken to be. A plain service is called for callers only: it may take
// any request for work.
func (a *Agent) upstreamIsEngine() bool {
	upstream := upstreamRow(a.spec)
	return upstream == nil || upstream.Kind() == mgtable.Engine
}

// follow keeps up with the engine; a plain service has no such reports.
func (a *Agent) pollUpstream(ctx context.Context) {
	if a.upstreamIsEngine() {
		a.pollEngine(ctx)
	}
}

// followEngine reads the engine's lagging load report and cache events.
func (a *Agent) pollEngine(ctx context.Context) {
	after := uint64(0)
	for a.spec.Clock.Sleep(ctx, pollInterval) {
		after = a.pollEngineOnce(ctx, after)
	}
}

func (a *Agent) pollEngineOnce(ctx context.Context, after uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	load, err := a.spec.Engine.Load(ctx)
	a.updateWarmUp(a.engineDown.Load() && err == nil)
	if a.engineDown.Swap(err != nil) != (err != nil) {
		a.spec.Log.Info("the engine's reachability changed", mglog.Upstream, a.spec.Settings.Upstream, "sick", err != nil)
	}
	if err != nil {
		return after
	}
	a.orders.reportedModels.Store(&load.Models)
	a.mu.Lock()
	a.scheduler.Used(a.spec.Clock.Now(), load.Capacity-load.Free)
	a.mu.Unlock()
	a.updateReclaimTime(load)
	if load.Leaving {
		a.Leave()
	}
	a.startMoves()
	events, err := a.spec.Engine.Events(ctx, after)
	if err != nil {
		return after
	}
	for _, event := range events {
		a.applyCacheEvent(event, after)
		after = event.Seq
	}
	return after
}

// warm lets an engine that has come back take part of its batch, and more as it
// warms up: its caches are empty, and as the idlest of all it would be given
// everything at once.
func (a *Agent) updateWarmUp(hasReturned bool) {
	now := a.spec.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if hasReturned {
		a.ramp.Start(now)
		a.isWarming = true
	}
	if !a.isWarming {
		return
	}
	batch := mgadmission.DefaultBatch
	if upstream := upstreamRow(a.spec); upstream != nil && upstream.Batch() > 0 {
		batch = upstream.Batch()
	}
	a.isWarming = a.ramp.Share(now) < 1
	a.scheduler.Limit(now, a.ramp.Limit(now, batch))
}

// note applies a cache event. After a gap the lost events may have been
// evictions, so the record starts over rather than promise what is gone.
func (a *Agent) applyCacheEvent(event mgengine.Event, after uint64) {
	if event.Seq != after+1 {
		a.prefix.Clear()
	}
	if event.Kind == mgengine.Evicted {
		a.prefix.Remove(event.Block)
		return
	}
	a.prefix.Add([]uint64{event.Block})
}

// sweep cancels generations that nobody reads and forgets finished ones.
func (a *Agent) sweep(ctx context.Context) {
	for a.spec.Clock.Sleep(ctx, mgclock.Second) {
		a.sweepOnce(ctx, a.spec.Clock.Now())
		a.drainGenerations(a.spec.Clock.Now())
	}
}

func (a *Agent) sweepOnce(ctx context.Context, now mgclock.Millis) {
	var abandoned []string
	a.mu.Lock()
	for id, g := range a.generations {
		if g.isExpired(now - mgclock.Millis(a.spec.Settings.Keep)) {
			delete(a.generations, id)
			continue
		}
		if g.isAbandoned(now - mgclock.Millis(a.spec.Settings.Grace)) {
			abandoned = append(abandoned, id)
		}
	}
	a.mu.Unlock()
	for _, id := range abandoned {
		a.spec.Metrics.Counter("abandoned").Inc(1)
		a.cancel(ctx, id)
	}
}
