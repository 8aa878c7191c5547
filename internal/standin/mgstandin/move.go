package mgstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

const (
	// defaultCopyMicros is the time to copy one token's memory, in microseconds: 160
	// KB over a link of 24 Gbit/s.
	defaultCopyMicros = 55
	// copyTTL is how long an engine keeps a copy from which no generation is resumed.
	copyTTL = 5 * mgclock.Second
)

// Kinds of refusals of a move.
const (
	missingRefusal = "missing" // no such generation, or it has no tokens yet
	roomRefusal    = "room"    // the other engine lacks memory or can't be reached
	copyRefusal    = "copy"    // no such copy: it was used or has expired
)

// incomingCopy is a copy that this engine holds of a generation of another engine.
type incomingCopy struct {
	spec           mgengine.StartSpec
	producedTokens uint64
	heldTokens     int // tokens of memory
	expiresAt      mgclock.Millis
}

// copySpec is the body of POST /v1/copies, which sends a copy to another engine.
type copySpec struct {
	Spec       mgengine.StartSpec `json:"spec"`
	Produced   uint64             `json:"made"`
	HeldTokens int                `json:"hold"` // tokens of memory
}

// SetClient sets the HTTP client for calls to other engines.
func (e *Engine) SetClient(client *http.Client) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.client = client
}

// Move copies a generation to another engine.
func (e *Engine) Move(ctx context.Context, spec mgengine.MoveSpec) (mgengine.Copy, *mgengine.Refusal) {
	order, newTokens, refused := e.beginCopy(spec)
	if refused != nil {
		return mgengine.Copy{}, refused
	}
	e.clock.Sleep(ctx, mgclock.Millis(newTokens*e.copyTime()/1000))
	if err := e.sendCopy(ctx, spec.To, order); err != nil {
		return mgengine.Copy{}, refusal(roomRefusal, err.Error())
	}
	return mgengine.Copy{
		Name:       order.Spec.ID,
		TokenCount: order.Produced,
	}, nil
}

func (e *Engine) copyTime() int {
	if e.spec.Copy > 0 {
		return e.spec.Copy
	}
	return defaultCopyMicros
}

// beginCopy returns the copy to send and how many of its tokens are new since the
// previous copy. The last copy stops the generation first, because tokens generated
// afterwards would be lost.
func (e *Engine) beginCopy(spec mgengine.MoveSpec) (copySpec, int, *mgengine.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	g := e.running(spec.ID)
	if g == nil || g.produced == 0 {
		return copySpec{}, 0, refusal(missingRefusal, "no such generation, or nothing of it yet; wait or start it elsewhere")
	}
	if g.copiedTo != spec.To {
		g.copiedTokens = 0
	}
	totalTokens := g.spec.PromptTokens + int(g.produced)
	newTokens := totalTokens - g.copiedTokens
	g.copiedTokens, g.copiedTo = totalTokens, spec.To
	if spec.Last {
		e.model.Cancel(spec.ID)
		delete(e.generations, spec.ID)
		g.notifyProgress() // its streams no longer find the generation and break
		record := e.counts.Generations[spec.ID]
		record.End = "moved"
		e.counts.Generations[spec.ID] = record
	}
	return copySpec{
		Spec:       g.spec,
		Produced:   g.produced,
		HeldTokens: totalTokens,
	}, newTokens, nil
}

func (e *Engine) sendCopy(ctx context.Context, to string, order copySpec) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("copy: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, to+"/v1/copies", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("copy: the other engine's address: %w", err)
	}
	e.mu.Lock()
	client := e.client
	e.mu.Unlock()
	if client == nil {
		client = mgdial.NewClient()
	}
	response, err := mgdial.Do(client, request)
	if err != nil {
		return fmt.Errorf("copy: the other engine can't be reached: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("copy: the other engine answers %s", response.Status)
	}
	return nil
}

// ReceiveCopy stores a copy of another engine's generation.
func (e *Engine) ReceiveCopy(order copySpec) *mgengine.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	now := e.clock.Now()
	e.dropCopies(now)
	c := e.copies[order.Spec.ID]
	if c == nil {
		c = &incomingCopy{}
	}
	if e.fault.Kind == Leave || !e.model.Reserve(order.HeldTokens-c.heldTokens) {
		return refusal(roomRefusal, "no room for a copy; send it to another engine")
	}
	*c = incomingCopy{
		spec:           order.Spec,
		producedTokens: order.Produced,
		heldTokens:     order.HeldTokens,
		expiresAt:      now + copyTTL,
	}
	e.copies[order.Spec.ID] = c
	return nil
}

// dropCopies frees the memory of expired copies.
func (e *Engine) dropCopies(now mgclock.Millis) {
	for name, c := range e.copies {
		if now >= c.expiresAt {
			e.model.Release(c.heldTokens)
			delete(e.copies, name)
		}
	}
}

// resumeFromCopy resumes a generation from a copy that this engine holds. The caller
// holds mu.
func (e *Engine) resumeFromCopy(spec mgengine.StartSpec) *mgengine.Refusal {
	c := e.copies[spec.CopyName]
	if c == nil {
		return refusal(copyRefusal, "no such copy; it was used or has run out")
	}
	delete(e.copies, spec.CopyName)
	e.model.Release(c.heldTokens)
	if !e.model.Resume(sequenceOf(c.spec), int(c.producedTokens), 1) {
		return refusal(copyRefusal, "the generation doesn't fit")
	}
	e.generations[spec.ID] = &generation{
		spec:     c.spec,
		produced: c.producedTokens,
		changed:  make(chan struct{}),
	}
	e.counts.Resumed++
	e.notifyChange()
	return nil
}

// sequenceOf returns the model's description of a generation.
func sequenceOf(spec mgengine.StartSpec) mgmodel.Sequence {
	return mgmodel.Sequence{
		ID:       spec.ID,
		Prompt:   spec.PromptTokens,
		Prefix:   spec.Prefix,
		Output:   Output(spec.Prompt, spec.MaxTokens),
		Priority: spec.Priority,
	}
}

func (e *Engine) serveMove(w http.ResponseWriter, r *http.Request) {
	var spec mgengine.MoveSpec
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSwitchBytes)).Decode(&spec); err != nil || spec.To == "" {
		writeRefusal(w, http.StatusBadRequest, "invalid", "not the JSON of a move")
		return
	}
	spec.ID = chi.URLParam(r, "id")
	made, refused := e.Move(r.Context(), spec)
	switch {
	case refused == nil:
		writeJSON(w, http.StatusOK, made)
	case refused.Kind == missingRefusal:
		writeJSON(w, http.StatusNotFound, refused)
	default:
		writeJSON(w, http.StatusConflict, refused)
	}
}

func (e *Engine) serveCopy(w http.ResponseWriter, r *http.Request) {
	var order copySpec
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxStartBytes)).Decode(&order); err != nil || order.Spec.ID == "" {
		writeRefusal(w, http.StatusBadRequest, "invalid", "not the JSON of a copy")
		return
	}
	if refused := e.ReceiveCopy(order); refused != nil {
		writeJSON(w, http.StatusConflict, refused)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
