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
	// pollInterval is the interval at which the engine's load and cache events
	// are read. They lag by about as much.
	pollInterval = 500 * mgclock.Millis(1)
	// pollTimeout limits one such read.
	pollTimeout = mgclock.Second
)

// adopt registers the generations that a predecessor left in the engine, so that
// their memory is counted and their readers find them. If the engine can't be
// reached, it is queried again when a reader asks for a generation.
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

// adoptOne registers one of the engine's generations and reads it from its first
// token.
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
		// Its memory counts, although the engine doesn't report the size of its
		// prompt.
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

// find returns a generation, adopting it if only the engine knows it.
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
			// Reading continues after this reader disconnects, but not after the
			// agent stops: the stop waits for it.
			return a.adoptOne(a.lifetime, found)
		}
	}
	return nil
}

// upstreamIsEngine reports whether the upstream is an engine, which is also
// assumed of an upstream that the table lacks. A plain service is called on
// behalf of callers only, because it may treat any request as work.
func (a *Agent) upstreamIsEngine() bool {
	upstream := upstreamRow(a.spec)
	return upstream == nil || upstream.Kind() == mgtable.Engine
}

// pollUpstream polls the upstream's reports if it is an engine; a plain service
// has none.
func (a *Agent) pollUpstream(ctx context.Context) {
	if a.upstreamIsEngine() {
		a.pollEngine(ctx)
	}
}

// pollEngine polls the engine's lagging load report and its cache events until
// ctx ends.
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
	a.scheduler.ReportUsed(a.spec.Clock.Now(), load.Capacity-load.Free)
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

// updateWarmUp limits an engine that has come back to a share of its batch,
// which grows as it warms up. Its caches are empty, and as the least loaded
// engine it would otherwise be assigned every request at once.
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
	if upstream := upstreamRow(a.spec); upstream != nil && upstream.MaxConcurrent() > 0 {
		batch = upstream.MaxConcurrent()
	}
	a.isWarming = a.ramp.Share(now) < 1
	a.scheduler.SetBatch(now, a.ramp.Limit(now, batch))
}

// applyCacheEvent applies a cache event. After a gap in the sequence the lost
// events may have been evictions, so the record of cached prefixes is cleared
// rather than kept with entries that may be gone.
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

// sweep cancels generations without readers and deletes finished ones that have
// expired.
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
		if g.isExpired(now - mgclock.Millis(a.spec.Settings.ResultTTL)) {
			delete(a.generations, id)
			continue
		}
		if g.isAbandoned(now - mgclock.Millis(a.spec.Settings.ReaderGrace)) {
			abandoned = append(abandoned, id)
		}
	}
	a.mu.Unlock()
	for _, id := range abandoned {
		a.spec.Metrics.Counter("abandoned").Inc(1)
		a.cancel(ctx, id)
	}
}
