package mgstandin

import (
	"slices"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// maxRecordedPromptBytes bounds the part of a prompt that a Record keeps.
const maxRecordedPromptBytes = 256

// bytesPerToken estimates the tokens of a prompt that doesn't specify them.
const bytesPerToken = 4

// generation is a generation that the engine holds, running or finished.
type generation struct {
	spec         mgengine.StartSpec
	end          string
	produced     uint64
	preempted    int
	endedAt      mgclock.Millis
	faultApplied bool          // a cut or stall was applied to its stream
	copiedTokens int           // tokens already copied to copiedTo
	copiedTo     string        // base URL of another engine
	changed      chan struct{} // closed and replaced on progress
}

// advance publishes the tokens of a generation up to seq.
func (e *Engine) advance(id string, seq uint64) {
	if g := e.running(id); g != nil {
		if strings.Contains(g.spec.Prompt, CrashMark) {
			e.counts.Crashes++
			e.loseState()
			return
		}
		if strings.Contains(g.spec.Prompt, CrashPartMark) {
			e.counts.PartCrashes++
			e.loseState()
			return
		}
		if seq > crashLateTokens && strings.Contains(g.spec.Prompt, CrashLateMark) {
			e.counts.LateCrashes++
			e.loseState()
			return
		}
		e.counts.Tokens++
		g.produced = seq
		g.notifyProgress()
	}
}

// running returns a running generation, or nil if it was cancelled during the step.
func (e *Engine) running(id string) *generation {
	g := e.generations[id]
	if g == nil || g.end != "" {
		return nil
	}
	return g
}

// finish ends a generation that produced its whole output.
func (e *Engine) finish(g *generation, now mgclock.Millis) {
	end := "stop"
	if Output(g.spec.Prompt, 0) > int(g.produced) {
		end = "length"
	}
	e.endGeneration(g, end, now)
}

// endGeneration marks a generation as ended. Its stream can be resumed for some time.
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

// notifyProgress makes the streams of the generation check its state again.
func (g *generation) notifyProgress() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Start starts a generation unless the engine already holds it. A nil Refusal means
// that the engine holds it.
func (e *Engine) Start(spec mgengine.StartSpec) *mgengine.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	if e.generations[spec.ID] != nil {
		return nil
	}
	if e.fault.Kind == Leave {
		return refusal("leaving", "the engine is leaving; start it elsewhere")
	}
	if len(e.loaded) > 0 && !slices.Contains(e.loaded, spec.Model) {
		return refusal("model", "the model isn't loaded; order it or start elsewhere")
	}
	if spec.CopyName != "" {
		return e.resumeFromCopy(spec)
	}
	if spec.PromptTokens < 1 {
		spec.PromptTokens = 1 + len(spec.Prompt)/bytesPerToken
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

// recordStart counts a start and keeps the beginning of the prompt.
func (e *Engine) recordStart(spec mgengine.StartSpec) {
	e.counts.Generations[spec.ID] = Record{
		Starts: e.counts.Generations[spec.ID].Starts + 1,
		Prompt: spec.Prompt[:min(len(spec.Prompt), maxRecordedPromptBytes)],
	}
}

// Cancel cancels a generation and reports whether the engine held it.
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

// List returns the generations that the engine holds, sorted by id.
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
