package mgspeed

import (
	"cmp"
	"slices"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// sampleDecay is the time in which the weight of a sample falls to 1/e. An engine that
	// is restarted under the same incarnation, or whose speed changes, is known anew after
	// about as long.
	sampleDecay = 8 * mgclock.Second
	// sampleWindow is the time over which the tokens of an engine make one sample. Spells of
	// some hundred ms in which an engine is slow then fill one sample or two.
	sampleWindow = 500 * mgclock.Millis(1)
	// windowTokens is the number of tokens from which a sample of steps has its full weight:
	// a third of what one stream receives in a window.
	windowTokens = 16.0
	// maxChange limits the ratio of a sample to the level known before.
	maxChange = 1.5
	// firstEventOverhead is the time beyond the prefill until a first event, ms: the network
	// and half a step.
	firstEventOverhead = 10.0
	// minWeight is the weight of samples below which an engine is dropped.
	minWeight = 0.05
)

// An Engine names an incarnation of an engine.
type Engine struct {
	Upstream string
	Service  string
	Start    int64 // as stated by the list, 0 if not stated
}

// A State is what runs at an engine, of all entries.
type State struct {
	Runs    int
	Pending int // prompt tokens without a first event
}

// A Learner holds the samples that one entry has measured. The zero Learner is empty and
// ready for use by several goroutines.
type Learner struct {
	mu      sync.Mutex
	engines map[string]*samples
	speeds  *Speeds // as last computed, by the hub if there is one; limits the ratios of samples
	count   uint64
}

// samples are the samples of one incarnation of an engine.
type samples struct {
	sums      Sums // decayed to updatedAt; Age isn't kept
	firstAt   mgclock.Millis
	updatedAt mgclock.Millis
	window    window
}

// window sums the tokens that become one sample.
type window struct {
	endsAt   mgclock.Millis
	tokens   float64
	elapsed  float64 // ms
	expected float64 // ms
	runs     float64 // times tokens
}

// stepTime returns the expected time of a step, ms.
func stepTime(s State) float64 {
	t := DefaultStep + DefaultPerRun*float64(max(s.Runs, 0))
	if s.Pending > 0 {
		t += prefillTime
	}
	return t
}

// RecordTokens records some tokens of a stream, the time since the stream's tokens before
// them, and the state of the engine at the time.
func (l *Learner) RecordTokens(now mgclock.Millis, engine Engine, tokens int, elapsed mgclock.Millis, at State) {
	if tokens <= 0 || elapsed < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.samplesOf(now, engine)
	if s == nil {
		return
	}
	if s.window.tokens > 0 && now >= s.window.endsAt {
		l.addStepSample(now, s)
	}
	if s.window.tokens == 0 {
		s.window.endsAt = now + sampleWindow
	}
	s.window.tokens += float64(tokens)
	s.window.elapsed += float64(elapsed)
	s.window.expected += float64(tokens) * stepTime(at)
	s.window.runs += float64(tokens) * float64(max(at.Runs, 0))
}

// addStepSample adds the sample of a complete window, and starts another window.
func (l *Learner) addStepSample(now mgclock.Millis, s *samples) {
	w := s.window
	s.window = window{}
	s.decay(now)
	reference, level := l.levelOf(s.sums)
	ratio := limited(w.elapsed/w.expected, shrunkMean(s.sums.Step, reference, level))
	s.sums.Step = s.sums.Step.with(min(1, w.tokens/windowTokens), w.runs/w.expected, ratio)
	l.count++
}

// RecordFirst records the time from sending a request to its first event, the tokens of its
// prompt, and the state of the engine before the request was sent.
func (l *Learner) RecordFirst(now mgclock.Millis, engine Engine, prompt int, elapsed mgclock.Millis, before State) {
	if prompt <= 0 || elapsed < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.samplesOf(now, engine)
	if s == nil {
		return
	}
	s.decay(now)
	// On average half of the prompt that is being prefilled is done.
	pending := float64(max(before.Pending-min(before.Pending, prompt)/2, 0))
	perChunk := stepTime(State{Runs: before.Runs, Pending: prompt})
	expected := (float64(prompt)+pending)*perChunk/chunkTokens + firstEventOverhead
	reference, level := l.readLevelOf(s.sums)
	ratio := limited(float64(elapsed)/expected, shrunkMean(s.sums.Read, reference, level))
	// The more was pending, the less is known of what was prefilled when.
	weight := float64(prompt) / (float64(prompt) + pending)
	s.sums.Read = s.sums.Read.with(weight, float64(prompt), ratio)
	l.count++
}

// samplesOf returns the samples of an incarnation. It returns nil for one that ended before
// the latest known one began. It is called with mu held.
func (l *Learner) samplesOf(now mgclock.Millis, engine Engine) *samples {
	if l.engines == nil {
		l.engines = map[string]*samples{}
	}
	s := l.engines[engine.Upstream]
	if s != nil && s.sums.Start == engine.Start {
		return s
	}
	if s != nil && s.sums.Start > engine.Start {
		return nil
	}
	s = &samples{
		sums: Sums{
			Upstream: engine.Upstream,
			Service:  engine.Service,
			Start:    engine.Start,
		},
		firstAt:   now,
		updatedAt: now,
	}
	l.engines[engine.Upstream] = s
	return s
}

// levelOf returns the reference of steps, and the level of the engine if it deviates, else 0.
// It is called with mu held.
func (l *Learner) levelOf(s Sums) (reference, level float64) {
	row, _ := l.speeds.row(s.Upstream, s.Start)
	return l.speeds.reference(s.Service).Level, row.Level
}

// readLevelOf is like levelOf, for prefill.
func (l *Learner) readLevelOf(s Sums) (reference, level float64) {
	row, _ := l.speeds.row(s.Upstream, s.Start)
	return l.speeds.reference(s.Service).Read, row.Read
}

// shrunkMean returns the level that all entries' samples give, if that is known, else the
// mean ratio of the given samples, shrunk to the reference.
func shrunkMean(l Line, reference, level float64) float64 {
	if level > 0 {
		return level
	}
	return (priorWeight*reference + l.Y) / (priorWeight + l.N)
}

// limited limits a ratio to maxChange times the level known before.
func limited(ratio, level float64) float64 {
	return min(max(ratio, level/maxChange), level*maxChange)
}

// decay applies the decay until now.
func (s *samples) decay(now mgclock.Millis) {
	s.sums = s.sums.decayed(now - s.updatedAt)
	s.updatedAt = max(now, s.updatedAt)
}

// Sums returns the sums of all engines with samples, sorted by upstream.
func (l *Learner) Sums(now mgclock.Millis) []Sums {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Sums, 0, len(l.engines))
	for upstream, s := range l.engines {
		s.decay(now)
		if s.sums.Step.N+s.sums.Read.N < minWeight && s.window.tokens == 0 {
			delete(l.engines, upstream)
			continue
		}
		if s.window.tokens > 0 && now >= s.window.endsAt+sampleDecay {
			s.window = window{}
		}
		list = append(list, Sums{
			Upstream: s.sums.Upstream,
			Service:  s.sums.Service,
			Start:    s.sums.Start,
			Age:      now - s.firstAt,
			Step:     s.sums.Step,
			Read:     s.sums.Read,
		})
	}
	slices.SortFunc(list, func(a, b Sums) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// Adopt sets the speeds that are known of the engines, by which samples are limited. Nil
// stands for none.
func (l *Learner) Adopt(speeds *Speeds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.speeds = speeds
}

// Count returns how many samples were recorded.
func (l *Learner) Count() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}
