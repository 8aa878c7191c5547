package mgmodel

import (
	"slices"
	"sort"
)

// sequence is a Sequence with its state in the engine.
type sequence struct {
	Sequence
	produced   int
	copied     int // context tokens copied from another engine
	uncomputed int // context tokens still to be computed; 0 means decoding
}

// context returns the tokens of memory that q occupies while it runs.
func (q *sequence) context() int { return q.Prompt + q.produced }

// Engine simulates continuous batching of sequences. It is not safe for
// concurrent use.
type Engine struct {
	spec    Spec
	cache   *cache
	byID    map[string]*sequence
	waiting []*sequence // by priority, then first come, first served
	running []*sequence // oldest first
	used    int
	result  Result
}

// New returns an empty engine.
func New(spec Spec) *Engine {
	spec = spec.withDefaults()
	return &Engine{
		spec:  spec,
		cache: newCache(spec.CacheTokens / spec.BlockTokens),
		byID:  make(map[string]*sequence),
	}
}

// Spec returns the engine's description with the defaults filled in.
func (e *Engine) Spec() Spec { return e.spec }

// SetSpeed scales the speed of all later steps; it models an upstream that
// becomes slow.
func (e *Engine) SetSpeed(speed float64) { e.spec.Speed = floatOrDefault(speed, 1) }

// Free returns the tokens of memory that are neither used nor held.
func (e *Engine) Free() int { return e.spec.Memory - e.used }

// Used returns the tokens of memory that running sequences and copies occupy.
func (e *Engine) Used() int { return e.used }

// Running returns the number of sequences in the batch.
func (e *Engine) Running() int { return len(e.running) }

// Waiting returns the number of sequences in the waiting queue.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Cached returns the number of tokens of a prompt with this prefix that the
// cache saves from being computed.
func (e *Engine) Cached(prefix []uint64) int {
	return e.cache.match(prefix) * e.spec.BlockTokens
}

// Add enqueues a sequence. It returns false, and changes nothing, if the ID is
// in use or the prompt can never fit. The output is truncated to what fits
// into the whole memory.
func (e *Engine) Add(s Sequence) bool {
	s.Output = max(s.Output, 1)
	maxOutput := e.spec.Memory - s.Prompt
	if e.byID[s.ID] != nil || s.Prompt < 1 || maxOutput < 1 {
		return false
	}
	s.Output = min(s.Output, maxOutput)
	q := &sequence{
		Sequence: s,
	}
	e.byID[s.ID] = q
	e.enqueue(q, false)
	return true
}

// Cancel removes a sequence and frees its memory. It reports whether the
// engine had the sequence.
func (e *Engine) Cancel(id string) bool {
	q := e.byID[id]
	if q == nil {
		return false
	}
	delete(e.byID, id)
	if !e.removeWaiting(q) {
		e.evict(q)
	}
	return true
}

// removeWaiting removes q from the waiting queue and reports whether it was
// there.
func (e *Engine) removeWaiting(q *sequence) bool {
	i := slices.Index(e.waiting, q)
	if i < 0 {
		return false
	}
	e.waiting = slices.Delete(e.waiting, i, i+1)
	return true
}

// Step runs one iteration of the batch.
func (e *Engine) Step() Result {
	e.result = Result{
		tokens:    e.result.tokens[:0],
		finished:  e.result.finished[:0],
		preempted: e.result.preempted[:0],
	}
	e.admit()
	if len(e.running) == 0 {
		return e.result
	}
	e.preemptForDecode()
	computed := e.prefill()
	attended := e.used
	decoded := e.decode()
	e.retire()
	e.result.duration = e.stepDuration(decoded, attended, computed)
	return e.result
}

// enqueue inserts q into the waiting queue, behind the sequences of its
// priority or, with atHead, ahead of them.
func (e *Engine) enqueue(q *sequence, atHead bool) {
	index := sort.Search(len(e.waiting), func(i int) bool {
		other := e.waiting[i].Priority
		return other < q.Priority || atHead && other == q.Priority
	})
	e.waiting = slices.Insert(e.waiting, index, q)
}

// admit moves sequences from the waiting queue into the batch, in order, while
// the context of the next one and one more token fit into free memory.
func (e *Engine) admit() {
	admitted := 0
	for admitted < len(e.waiting) && len(e.running) < e.spec.MaxBatch {
		q := e.waiting[admitted]
		if q.context()+1 > e.Free() {
			break
		}
		e.start(q)
		admitted++
	}
	e.waiting = slices.Delete(e.waiting, 0, admitted)
}

// start reserves memory for q and computes how much of its context is still to
// be computed after the prefix cache or a copy. At least one token is
// computed, since the next token is derived from it.
func (e *Engine) start(q *sequence) {
	e.used += q.context()
	q.uncomputed = max(q.context()-max(e.Cached(q.Prefix), q.copied), 1)
	e.cache.touch(q.Prefix)
	if q.copied > 0 {
		e.running = slices.Insert(e.running, 0, q) // ahead of the others, which lack whole prompts where it lacks few tokens
		return
	}
	e.running = append(e.running, q)
}

// preemptForDecode preempts sequences until each decoding sequence can grow by
// one token.
func (e *Engine) preemptForDecode() {
	for e.maxDecodeCount() > e.Free() {
		q := e.victim()
		e.evict(q)
		e.enqueue(q, true)
		e.result.preempted = append(e.result.preempted, q.ID)
	}
}

// maxDecodeCount returns an upper bound on the tokens that this step produces:
// one for each decoding sequence and each one whose prefill ends within the
// chunk.
func (e *Engine) maxDecodeCount() int {
	count, chunk := 0, e.spec.MaxChunk
	for _, q := range e.running {
		if q.uncomputed <= chunk {
			chunk -= q.uncomputed
			count++
		} else {
			chunk = 0
		}
	}
	return count
}

// victim returns the sequence to preempt: the youngest of the lowest priority.
func (e *Engine) victim() *sequence {
	chosen := e.running[0]
	for _, q := range e.running[1:] {
		if q.Priority <= chosen.Priority {
			chosen = q
		}
	}
	return chosen
}

// evict removes q from the batch and frees its memory.
func (e *Engine) evict(q *sequence) {
	i := slices.Index(e.running, q)
	e.running = slices.Delete(e.running, i, i+1)
	e.used -= q.context()
	q.copied = 0
}

// prefill computes up to a chunk of prompt tokens, oldest sequence first, and
// returns the number computed.
func (e *Engine) prefill() int {
	chunk := e.spec.MaxChunk
	for _, q := range e.running {
		if chunk == 0 {
			break
		}
		n := min(q.uncomputed, chunk)
		q.uncomputed -= n
		chunk -= n
	}
	return e.spec.MaxChunk - chunk
}

// decode produces one token for each sequence whose context is computed, and
// returns the number of tokens.
func (e *Engine) decode() int {
	count := 0
	for _, q := range e.running {
		if q.uncomputed > 0 {
			continue
		}
		q.produced++
		count++
		e.result.tokens = append(e.result.tokens, Token{
			id:  q.ID,
			seq: q.produced,
		})
	}
	e.used += count
	return count
}

// retire removes the sequences that have produced their whole output.
func (e *Engine) retire() {
	kept := e.running[:0]
	for _, q := range e.running {
		if q.produced < q.Output {
			kept = append(kept, q)
			continue
		}
		e.used -= q.context()
		delete(e.byID, q.ID)
		e.result.finished = append(e.result.finished, q.ID)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// stepDuration returns the duration of a step in ms.
func (e *Engine) stepDuration(decoded, attended, computed int) float64 {
	s := e.spec
	work := s.StepCost + s.SequenceCost*float64(decoded)
	work += s.ContextCost * float64(attended) / 1000
	work += s.PrefillCost * float64(computed) / 1000
	return work / s.Speed
}
