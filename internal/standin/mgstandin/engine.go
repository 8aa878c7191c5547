package mgstandin

import (
	"context"
	"maps"
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

// promptBytes bounds what is remembered of a prompt.
const promptBytes = 256

// bytesPerToken estimates the length of a prompt that doesn't say.
const bytesPerToken = 4

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
	changed     chan struct{} // closed and replaced when a switch turns or work arrives
	life        int           // deaths so far
	loaded      []string
	role        string
	fence       uint64
	report      lagged
	cache       cacheLog
	counts      EngineCounts
}

// generation is one that the engine holds.
type generation struct {
	spec      mgengine.StartSpec
	end       string
	produced  uint64
	preempted int
	doneAt    mgclock.Millis
	struck    bool          // its stream has met a cut or stall
	changed   chan struct{} // closed and replaced on progress
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

// advance publishes a generation's tokens up to seq.
func (e *Engine) advance(id string, seq uint64) {
	if g := e.running(id); g != nil {
		e.counts.Tokens++
		g.produced = seq
		g.wake()
	}
}

// running returns a generation, or nil when it was cancelled during the step.
func (e *Engine) running(id string) *generation {
	g := e.generations[id]
	if g == nil || g.end != "" {
		return nil
	}
	return g
}

// observe takes what the lagging report and the late events will tell, and
// forgets what was finished long ago.
func (e *Engine) observe(now mgclock.Millis) {
	e.report.take(e.load(), now, e.spec.Lag)
	e.cache.take(e.model, now, e.spec.Late, e.spec.Gap)
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
	}
}

// finish records the end of a generation that produced its whole output.
func (e *Engine) finish(g *generation, now mgclock.Millis) {
	end := "stop"
	if Output(g.spec.Prompt, 0) > int(g.produced) {
		end = "length"
	}
	e.close(g, end, now)
}

// close ends a generation, which can still be resumed for a while.
func (e *Engine) close(g *generation, end string, now mgclock.Millis) {
	g.end = end
	g.doneAt = now
	record := e.counts.Generations[g.spec.ID]
	record.Tokens = int(g.produced)
	record.End = end
	e.counts.Generations[g.spec.ID] = record
	e.finished = append(e.finished, g)
	g.wake()
}

// wake lets the streams of a generation look again.
func (g *generation) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
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

// Set turns a switch: Die, Cut, Stall, Silent, Slow, Leave or Heal. An engine
// that died and is healed has lost its generations, its fencing number and
// the orders it carried out.
func (e *Engine) Set(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prepare()
	e.faults = f
	e.model.SetSpeed(e.speed())
	if f.Kind == Die {
		e.die()
	}
	for _, g := range e.generations {
		g.struck = false
	}
	e.wake()
}

// speed returns how fast the steps are under the present fault.
func (e *Engine) speed() float64 {
	speed := e.spec.Model.Speed
	if speed <= 0 {
		speed = 1
	}
	if e.faults.Kind == Slow && e.faults.Factor > 0 {
		speed /= e.faults.Factor
	}
	return speed
}

// die loses all state but the counters.
func (e *Engine) die() {
	for _, g := range e.generations {
		g.wake()
	}
	e.life++
	e.model = nil
	e.finished = nil
	e.fence = 0
	e.report = lagged{}
	e.cache = cacheLog{}
	e.prepare()
}

// Counts returns the counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Generations = maps.Clone(counts.Generations)
	return counts
}

// Start starts a generation unless the engine holds it. A nil Refusal means
// that it does now.
func (e *Engine) Start(spec mgengine.StartSpec) *mgengine.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prepare()
	if e.generations[spec.ID] != nil {
		return nil
	}
	if e.faults.Kind == Leave {
		return refusal("leaving", "the engine is leaving; start it elsewhere")
	}
	if len(e.loaded) > 0 && !slices.Contains(e.loaded, spec.Model) {
		return refusal("model", "the model isn't loaded; order it or start elsewhere")
	}
	if spec.Tokens < 1 {
		spec.Tokens = 1 + len(spec.Prompt)/bytesPerToken
	}
	added := e.model.Add(mgmodel.Sequence{
		ID:       spec.ID,
		Prompt:   spec.Tokens,
		Prefix:   spec.Prefix,
		Output:   Output(spec.Prompt, spec.Max),
		Priority: spec.Priority,
	})
	if !added {
		return refusal("large", "the prompt doesn't fit the engine's memory; shorten it")
	}
	e.generations[spec.ID] = &generation{
		spec:    spec,
		changed: make(chan struct{}),
	}
	e.cache.expect(spec.Prefix)
	e.record(spec)
	e.wake()
	return nil
}

// record notes a start.
func (e *Engine) record(spec mgengine.StartSpec) {
	e.counts.Generations[spec.ID] = Record{
		Starts: e.counts.Generations[spec.ID].Starts + 1,
		Prompt: spec.Prompt[:min(len(spec.Prompt), promptBytes)],
	}
}

// Cancel ends a generation and reports whether the engine held it.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prepare()
	g := e.generations[id]
	if g == nil {
		return false
	}
	if g.end == "" {
		e.model.Cancel(id)
		e.close(g, "cancelled", e.clock.Now())
	}
	return true
}

// List returns the generations that the engine holds, by id.
func (e *Engine) List() []mgengine.Generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]mgengine.Generation, 0, len(e.generations))
	for id, g := range e.generations {
		list = append(list, mgengine.Generation{
			ID:       id,
			Model:    g.spec.Model,
			Produced: g.produced,
			Done:     g.end != "",
		})
	}
	slices.SortFunc(list, func(a, b mgengine.Generation) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
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

// Order carries out an order. An engine without fencing carries out old ones
// too, and counts them.
func (e *Engine) Order(spec mgengine.OrderSpec) *mgengine.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prepare()
	older := spec.Fence < e.fence
	if e.spec.Fenced && older {
		e.counts.Refused++
		return &mgengine.Refusal{
			Kind:   mgengine.FenceRefusal,
			Detail: "a newer agent gives the orders",
			Fence:  e.fence,
		}
	}
	if older {
		e.counts.Older++
	}
	e.fence = max(e.fence, spec.Fence)
	e.counts.Orders++
	e.carryOut(spec)
	return nil
}

func (e *Engine) carryOut(spec mgengine.OrderSpec) {
	at := slices.Index(e.loaded, spec.Model)
	switch {
	case spec.Kind == mgengine.LoadModel && at < 0:
		e.loaded = append(e.loaded, spec.Model)
	case spec.Kind == mgengine.UnloadModel && at >= 0:
		e.loaded = slices.Delete(e.loaded, at, at+1)
	case spec.Kind == mgengine.SetRole:
		e.role = spec.Model
	}
}

func refusal(kind, detail string) *mgengine.Refusal {
	return &mgengine.Refusal{
		Kind:   kind,
		Detail: detail,
	}
}
