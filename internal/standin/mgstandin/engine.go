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

// The defaults of an EngineSpec.
const (
	defaultResumeTTL         = mgclock.Minute
	defaultHeartbeatInterval = mgclock.Second
)

// behind bounds how far the steps may lag behind the clock. A process that
// was paused doesn't make up for the time it lost.
const maxStepLag = 100 * mgclock.Millis(1)

// An Engine is a model engine that steps mgmodel in real time. The zero Engine
// is ready for use; it produces tokens while Run runs.
type Engine struct {
	spec  EngineSpec
	clock mgclock.Clock

	mu            sync.Mutex
	model         *mgmodel.Engine
	generations   map[string]*generation
	finished      []*generation // in the order of their end
	faults        Fault
	leaveDeadline mgclock.Millis // end of the notice of a Leave
	changed       chan struct{}  // closed and replaced when a switch turns or work arrives
	incarnation   int            // deaths so far
	loaded        []string
	role          string
	fence         uint64
	laggedLoad    laggedLoad
	cache         cacheLog
	copies        map[string]*incomingCopy // by the generation's id
	client        *http.Client             // by which other engines are reached
	counts        EngineCounts
}

// NewEngine returns an engine without work.
func NewEngine(spec EngineSpec, clock mgclock.Clock) *Engine {
	return &Engine{
		spec:  spec,
		clock: clock,
	}
}

// prepare fills in what the zero Engine lacks. It is called with mu held.
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

// Run steps the engine until ctx ends. A step's tokens are there at its end.
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

// step runs one step of the batch. Its duration is 0 when there is nothing to
// run until the channel is closed.
func (e *Engine) step() (mgmodel.Result, int, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	if e.faults.Kind == Die || e.faults.Kind == Silent {
		return mgmodel.Result{}, e.incarnation, e.changeChannel()
	}
	return e.model.Step(), e.incarnation, e.changeChannel()
}

// publish makes what a step did seen, unless the engine died meanwhile.
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

// observe takes what the lagging report and the late events will tell, and
// forgets what was finished long ago.
func (e *Engine) updateReports(now mgclock.Millis) {
	e.laggedLoad.sample(e.load(), now, e.spec.Lag)
	e.cache.sample(e.model, now, e.spec.Late, e.spec.Gap)
	e.dropCopies(now)
	for len(e.finished) > 0 && now-e.finished[0].endedAt > e.spec.Keep {
		delete(e.generations, e.finished[0].spec.ID)
		e.finished = e.finished[1:]
	}
}

// load returns what is true now.
func (e *Engine) load() mgengine.Load {
	return mgengine.Load{
		Running:  e.model.Running(),
		Waiting:  e.model.Waiting(),
		Free:     int64(e.model.Free()),
		Capacity: int64(e.model.Spec().Memory),
		Models:   slices.Clone(e.loaded),
		Role:     e.role,
		Fence:    e.fence,
		Leaving:  e.faults.Kind == Leave,
		Notice:   e.remainingNotice(),
	}
}

// change returns the channel that the next wake closes.
func (e *Engine) changeChannel() <-chan struct{} {
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed
}

// wake lets Run and the handlers look again.
func (e *Engine) notifyChange() {
	if e.changed != nil {
		close(e.changed)
	}
	e.changed = nil
}

// look returns the present fault and the channel of its change.
func (e *Engine) currentFault() (string, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Kind, e.changeChannel()
}

// Counts returns the counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Generations = maps.Clone(counts.Generations)
	return counts
}

// Load returns the lagging report.
func (e *Engine) Load() mgengine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	e.updateReports(e.clock.Now())
	return e.laggedLoad.published
}

// Events returns the cache events after a number that are published by now.
func (e *Engine) Events(after uint64) []mgengine.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	e.updateReports(e.clock.Now())
	return e.cache.since(after)
}
