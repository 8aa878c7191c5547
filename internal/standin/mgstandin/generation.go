package mgstandin

import (
	"slices"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// promptBytes bounds what is remembered of a prompt.
const maxRecordedPromptBytes = 256

// bytesPerToken estimates the length of a prompt that doesn't say.
const bytesPerToken = 4

// generation is one that the engine holds.
type generation struct {
	spec         mgengine.StartSpec
	end          string
	produced     uint64
	preempted    int
	endedAt      mgclock.Millis
	faultApplied bool          // its stream has met a cut or stall
	copiedTokens int           // tokens that copiedTo has
	copiedTo     string        // base URL of another engine
	changed      chan struct{} // closed and replaced on progress
}

// advance publishes a generation's tokens up to seq.
func (e *Engine) advance(id string, seq uint64) {
	if g := e.running(id); g != nil {
		if strings.Contains(g.spec.Prompt, CrashMark) {
			e.counts.Crashes++
			e.loseState()
			return
		}
		e.counts.Tokens++
		g.produced = seq
		g.notifyProgress()
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

// finish records the end of a generation that produced its whole output.
func (e *Engine) finish(g *generation, now mgclock.Millis) {
	end := "stop"
	if Output(g.spec.Prompt, 0) > int(g.produced) {
		end = "length"
	}
	e.endGeneration(g, end, now)
}

// close ends a generation, which can still be resumed for a while.
func (e *Engine) endGeneration(g *generation, end string, now mgclock.Millis) {
	g.end = end
	g.endedAt = now
	record := e.counts.Generations[g.spec.ID]
	record.Tokens = int(g.produced)
	record.End = end
	e.counts.Generations[g.spec.ID] = record
	e.finished = append(e.finished, g)
	g.notifyProgress()
}

// wake lets the streams of a generation look again.
func (g *generation) notifyProgress() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Start starts a generation unless the engine holds it. A nil Refusal means
// that it does now.
func (e *Engine) Start(spec mgengine.StartSpec) *mgengine.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	if e.generations[spec.ID] != nil {
		return nil
	}
	if e.faults.Kind == Leave {
		return refusal("leaving", "the engine is leaving; start it elsewhere")
	}
	if len(e.loaded) > 0 && !slices.Contains(e.loaded, spec.Model) {
		return refusal("model", "the model isn't loaded; order it or start elsewhere")
	}
	if spec.Copy != "" {
		return e.resumeFromCopy(spec)
	}
	if spec.Tokens < 1 {
		spec.Tokens = 1 + len(spec.Prompt)/bytesPerToken
	}
	if !e.model.Add(sequenceOf(spec)) {
		return refusal("large", "the prompt doesn't fit the engine's memory; shorten it")
	}
	e.generations[spec.ID] = &generation{
		spec:    spec,
		changed: make(chan struct{}),
	}
	e.cache.addCandidates(spec.Prefix)
	e.recordStart(spec)
	e.notifyChange()
	return nil
}

// record notes a start.
func (e *Engine) recordStart(spec mgengine.StartSpec) {
	e.counts.Generations[spec.ID] = Record{
		Starts: e.counts.Generations[spec.ID].Starts + 1,
		Prompt: spec.Prompt[:min(len(spec.Prompt), maxRecordedPromptBytes)],
	}
}

// Cancel ends a generation and reports whether the engine held it.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	g := e.generations[id]
	if g == nil {
		return false
	}
	if g.end == "" {
		e.model.Cancel(id)
		e.endGeneration(g, "cancelled", e.clock.Now())
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
	slices.SortFunc(list, func(a, b mgengine.Generation) int { return strings.Compare(a.ID, b.ID) })
	return list
}
