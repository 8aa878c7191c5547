package mgstandin

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Defaults of an EngineSpec.
const (
	defaultResumeTTL         = mgclock.Minute
	defaultHeartbeatInterval = mgclock.Second
)

// maxStepLag is the maximum time that the steps lag behind the clock. An engine whose
// process was paused does not catch up on the lost time.
const maxStepLag = 100 * mgclock.Millis(1)

// Engine is a model engine that steps an mgmodel.Engine in real time. The zero Engine
// is ready for use. It produces tokens while Run runs.
type Engine struct {
	spec  EngineSpec
	clock mgclock.Clock

	mu            sync.Mutex
	model         *mgmodel.Engine
	generations   map[string]*generation
	finished      []*generation // in the order in which they ended
	fault         Fault
	leaveDeadline mgclock.Millis // end of the notice of a Leave fault
	changed       chan struct{}  // closed and replaced when a fault is set or work arrives
	incarnation   int            // number of state losses
	loaded        []string
	role          string
	fence         uint64
	laggedLoad    laggedLoad
	cache         cacheLog
	copies        map[string]*incomingCopy // by generation id
	client        *http.Client             // for calls to other engines
	counts        EngineCounts
}

// NewEngine returns an engine without generations.
func NewEngine(spec EngineSpec, clock mgclock.Clock) *Engine {
	return &Engine{
		spec:  spec,
		clock: clock,
	}
}

// ensureInitialized initializes the fields that a zero Engine lacks. The caller holds
// mu.
func (e *Engine) ensureInitialized() {
	if e.model != nil {
		return
	}
	e.model = mgmodel.New(e.spec.Model)
	e.generations = make(map[string]*generation)
	e.copies = make(map[string]*incomingCopy)
	e.loaded = slices.Clone(e.spec.Serves)
	e.role = e.spec.Role
	if e.counts.Generations == nil {
		e.counts.Generations = make(map[string]Record)
	}
	if e.spec.Keep == 0 {
		e.spec.Keep = defaultResumeTTL
	}
	if e.spec.Beat == 0 {
		e.spec.Beat = defaultHeartbeatInterval
	}
}

// Run steps the engine until ctx ends. The tokens of a step become visible at its end.
func (e *Engine) Run(ctx context.Context) {
	nextStep := float64(e.clock.Now())
	for ctx.Err() == nil {
		result, incarnation, changed := e.step()
		if result.Duration() == 0 {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			nextStep = float64(e.clock.Now())
			continue
		}
		nextStep += result.Duration()
		now := e.clock.Now()
		nextStep = max(nextStep, float64(now-maxStepLag))
		e.clock.Sleep(ctx, mgclock.Millis(nextStep)-now)
		e.publish(result, incarnation)
	}
}

// step runs one step of the batch. A duration of 0 means that there is no work until
// the returned channel is closed.
func (e *Engine) step() (mgmodel.Result, int, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	if e.fault.Kind == Die || e.fault.Kind == Silent {
		return mgmodel.Result{}, e.incarnation, e.changeChannel()
	}
	return e.model.Step(), e.incarnation, e.changeChannel()
}

// publish makes the result of a step visible, unless the engine lost its state in the
// meantime.
func (e *Engine) publish(result mgmodel.Result, incarnation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != e.incarnation {
		return
	}
	now := e.clock.Now()
	for _, t := range result.Tokens() {
		e.advance(t.ID(), uint64(t.Seq()))
	}
	for _, id := range result.Preempted() {
		if g := e.running(id); g != nil {
			g.preempted++
		}
	}
	for _, id := range result.Finished() {
		if g := e.running(id); g != nil {
			e.finish(g, now)
		}
	}
	e.counts.Preempted += len(result.Preempted())
	e.updateReports(now)
}

// updateReports samples the load for the lagged report and the cache for the late
// events, and drops expired copies and finished generations.
func (e *Engine) updateReports(now mgclock.Millis) {
	e.laggedLoad.sample(e.load(), now, e.spec.Lag)
	e.cache.sample(e.model, now, e.spec.Late, e.spec.Gap)
	e.dropCopies(now)
	for len(e.finished) > 0 && now-e.finished[0].endedAt > e.spec.Keep {
		delete(e.generations, e.finished[0].spec.ID)
		e.finished = e.finished[1:]
	}
}

// load returns the current load.
func (e *Engine) load() mgengine.Load {
	return mgengine.Load{
		Running:  e.model.Running(),
		Waiting:  e.model.Waiting(),
		Free:     int64(e.model.Free()),
		Capacity: int64(e.model.Spec().Memory),
		Models:   slices.Clone(e.loaded),
		Role:     e.role,
		Fence:    e.fence,
		Leaving:  e.fault.Kind == Leave,
		Notice:   e.remainingNotice(),
	}
}

// changeChannel returns the channel that the next notifyChange closes.
func (e *Engine) changeChannel() <-chan struct{} {
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed
}

// notifyChange makes Run and the waiting handlers check the state again.
func (e *Engine) notifyChange() {
	if e.changed != nil {
		close(e.changed)
	}
	e.changed = nil
}

// currentFault returns the current fault kind and a channel that is closed when the
// state changes.
func (e *Engine) currentFault() (string, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault.Kind, e.changeChannel()
}

// Counts returns the counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Generations = maps.Clone(counts.Generations)
	return counts
}

// Load returns the load report, which is Lag old.
func (e *Engine) Load() mgengine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	e.updateReports(e.clock.Now())
	return e.laggedLoad.published
}

// Events returns the published cache events with a sequence number above after.
func (e *Engine) Events(after uint64) []mgengine.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	e.updateReports(e.clock.Now())
	return e.cache.since(after)
}
