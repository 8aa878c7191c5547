package mgadmission

import (
	"math"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// memory is the span over which a Forecast averages. Shorter, one long step
// reads as a slow upstream; longer, an upstream that turns slow is noticed
// only after whole deadlines.
const memory = 5 * mgclock.Second

// warmup is the span of work after which the measured rate is believed.
// Before, nothing is turned away for its predicted wait.
const warmup = mgclock.Second

// leastRetry is the least span after which a caller is told to come back: a
// few steps of an engine, in which something may end.
const leastRetry = 200 * mgclock.Millis(1)

// PromptCost is the cost of computing a prompt token in units of producing one:
// prompts are computed in parallel, answers token by token in a batch.
const PromptCost = 0.05

// Cost returns a request's expected cost in tokens produced.
func Cost(uncached int, output float64) float64 {
	return PromptCost*float64(uncached) + output
}

// A Forecast predicts waits from what the upstream got done. The zero Forecast
// has seen nothing, predicts no wait and is ready for use.
type Forecast struct {
	at      mgclock.Millis
	busy    bool
	done    float64 // tokens produced, fading
	span    float64 // milliseconds with work, fading
	prompts float64 // uncached prompt tokens that reached a first token, fading
	delays  float64 // milliseconds from their starts, fading
	tokens  float64 // that followed another one, fading
	gaps    float64 // milliseconds between them, fading
	biases  [levels]bias
}

// levels is the number of levels of priority that have a bias of their own.
const levels = 4

// bias compares predicted waits with those that came.
type bias struct {
	predicted float64 // milliseconds, fading
	waited    float64 // milliseconds, fading
}

// doubt is a right prediction, in milliseconds, that every bias begins with, so
// that the first waits don't decide alone.
const doubt = 10_000.0

// most is the greatest factor by which a bias lengthens a prediction. There is
// no least one: passing can make a wait next to nothing.
const most = 2.0

// Busy tells whether from now on the upstream has work.
func (f *Forecast) Busy(now mgclock.Millis, busy bool) {
	f.advance(now)
	f.busy = busy
}

// Done tells that the upstream got work of a cost done.
func (f *Forecast) Done(now mgclock.Millis, cost float64) {
	f.advance(now)
	f.done += cost
}

// First tells that an answer's first token came a delay after its start.
func (f *Forecast) First(uncached int, delay mgclock.Millis) {
	const keep = 15.0 / 16 // an average over some 16 answers
	f.prompts = keep*f.prompts + float64(uncached+overhead)
	f.delays = keep*f.delays + float64(delay)
}

// overhead is the part of a first token's delay that comes with no prompt, in
// prompt tokens: about a step of the batch.
const overhead = 256

// FirstToken returns the expected delay from a start to its first token.
func (f *Forecast) FirstToken(uncached int) mgclock.Millis {
	if f.prompts == 0 {
		return 0
	}
	return mgclock.Millis(f.delays / f.prompts * float64(uncached+overhead))
}

// Next tells that an answer produced tokens within a span since its last one.
func (f *Forecast) Next(tokens int, span mgclock.Millis) {
	const keep = 255.0 / 256 // an average over some steps of a batch
	f.tokens = keep*f.tokens + float64(tokens)
	f.gaps = keep*f.gaps + float64(span)
}

// Rest returns the expected time that an answer of a length takes from its
// first token to its last.
func (f *Forecast) Rest(length float64) mgclock.Millis {
	if f.tokens == 0 {
		return 0
	}
	return mgclock.Millis(f.gaps / f.tokens * length)
}

// Wait returns how long work of a cost takes the upstream.
func (f *Forecast) Wait(now mgclock.Millis, cost float64) mgclock.Millis {
	f.advance(now)
	if f.span < float64(warmup) || cost <= 0 {
		return 0
	}
	if f.done <= 0 {
		return mgclock.Minute
	}
	return mgclock.Millis(min(cost*f.span/f.done, float64(mgclock.Minute)))
}

// Waited tells that a request of a level of priority, which was predicted to
// wait, did wait for a span.
func (f *Forecast) Waited(level int, predicted, waited mgclock.Millis) {
	const keep = 63.0 / 64 // an average over some 64 requests
	b := f.bias(level)
	b.predicted = keep*b.predicted + float64(predicted)
	b.waited = keep*b.waited + float64(waited)
}

// Corrected returns a predicted wait corrected by what requests of the level
// met lately. Requests pass each other in ways that the work ahead doesn't
// show, and a lookup that is turned away for a wait that it would not have had
// is turned away in vain.
func (f *Forecast) Corrected(level int, predicted mgclock.Millis) mgclock.Millis {
	b := f.bias(level)
	factor := (b.waited + doubt) / (b.predicted + doubt)
	return mgclock.Millis(float64(predicted) * min(factor, most))
}

func (f *Forecast) bias(level int) *bias {
	return &f.biases[min(max(level, 0), levels-1)]
}

// Retry returns after which span a request that would wait for wait, and may
// only wait for slack, can come back with as much time as it has now: when the
// work ahead has shrunk so far, and an eighth of the wait more, as the rate is
// known no better. Who comes back too early is turned away again; so is who
// comes back while the overload goes on, as those who came since are ahead.
func Retry(wait, slack mgclock.Millis) mgclock.Millis {
	return max(wait+wait/8-max(slack, 0), leastRetry)
}

// advance fades what was seen and counts the time with work.
func (f *Forecast) advance(now mgclock.Millis) {
	gone := float64(now - f.at)
	if gone <= 0 {
		return
	}
	f.at = now
	if !f.busy {
		return
	}
	keep := math.Exp(-gone / float64(memory))
	f.done *= keep
	f.span = keep*f.span + (1-keep)*float64(memory)
}
