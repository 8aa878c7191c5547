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
	defaultKeep = mgclock.Minute
	defaultBeat = mgclock.Second
)

// behind bounds how far the steps may lag behind the clock. A process that
// was paused doesn't make up for the time it lost.
const behind = 100 * mgclock.Millis(1)

// An Engine is a model engine that steps mgmodel in real time. The zero Engine
// is ready for use; it produces tokens while Run runs.
type Engine struct {
	spec  EngineSpec
	clock mgclock.Clock

	mu          sync.Mutex
	model       *mgmodel.Engine
	generations map[string]*generation
	finished    []*generation // in the order of their end
	faults      Fault
	gone        mgclock.Millis // end of the notice of a Leave
	changed     chan struct{}  // closed and replaced when a switch turns or work arrives
	life        int            // deaths so far
	loaded      []string
	role        string
	fence       uint64
	report      lagged
	cache       cacheLog
	copies      map[string]*incoming // by the generation's id
	client      *http.Client         // by which other engines are reached
	counts      EngineCounts
}

// NewEngine returns an engine without work.
func NewEngine(spec EngineSpec, clock mgclock.Clock) *Engine {
	return &Engine{
		spec:  spec,
		clock: clock,
	}
}

// prepare fills in what the zero Engine lacks. It is called with mu held.
func (e *Engine) prepare() {
	if e.model != nil {
		return
	}
	e.model = mgmodel.New(e.spec.Model)
	e.generations = make(map[string]*generation)
	e.copies = make(map[string]*incoming)
	e.loaded = slices.Clone(e.spec.Serves)
	e.role = e.spec.Role
	if e.counts.Generations == nil {
		e.counts.Generations = make(map[string]Record)
	}
	if e.spec.Keep == 0 {
		e.spec.Keep = defaultKeep
	}
	if e.spec.Beat == 0 {
		e.spec.Beat = defaultBeat
	}
}

// Run steps the engine until ctx ends. A step's tokens are there at its end.
func (e *Engine) Run(ctx context.Context) {
	due := float64(e.clock.Now())
	for ctx.Err() == nil {
		result, life, change := e.step()
		if result.Duration() == 0 {
			select {
			case <-change:
			case <-ctx.Done():
			}
			due = float64(e.clock.Now())
			continue
		}
		due += result.Duration()
		now := e.clock.Now()
		due = max(due, float64(now-behind))
		e.clock.Sleep(ctx, mgclock.Millis(due)-now)
		e.publish(result, life)
	}
}

// step runs one step of the batch. Its duration is 0 when there is nothing to
// run until the channel is closed.
func (e *Engine) step() (mgmodel.Result, int, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prepare()
	if e.faults.Kind == Die || e.faults.Kind == Silent {
		return mgmodel.Result{}, e.life, e.change()
	}
	return e.model.Step(), e.life, e.change()
}

// publish makes what a step did seen, unless the engine died meanwhile.
func (e *Engine) publish(result mgmodel.Result, life int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if life != e.life {
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
	e.observe(now)
}

// observe takes what the lagging report and the late events will tell, and
// forgets what was finished long ago.
func (e *Engine) observe(now mgclock.Millis) {
	e.report.take(e.load(), now, e.spec.Lag)
	e.cache.take(e.model, now, e.spec.Late, e.spec.Gap)
	e.dropCopies(now)
	for len(e.finished) > 0 && now-e.finished[0].doneAt > e.spec.Keep {
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
		Notice:   e.notice(),
	}
}

// change returns the channel that the next wake closes.
func (e *Engine) change() <-chan struct{} {
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed
}

// wake lets Run and the handlers look again.
func (e *Engine) wake() {
	if e.changed != nil {
		close(e.changed)
	}
	e.changed = nil
}

// look returns the present fault and the channel of its change.
func (e *Engine) look() (string, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Kind, e.change()
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
	e.prepare()
	e.observe(e.clock.Now())
	return e.report.shown
}

// Events returns the cache events after a number that are published by now.
func (e *Engine) Events(after uint64) []mgengine.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prepare()
	e.observe(e.clock.Now())
	return e.cache.since(after)
}
