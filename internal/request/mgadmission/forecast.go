package mgadmission

import (
	"math"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// averagingWindow is the span over which a Forecast averages. Shorter, one long step
// reads as a slow upstream; longer, an upstream that turns slow is noticed
// only after whole deadlines.
const averagingWindow = 5 * mgclock.Second

// warmup is the span of work after which the measured rate is believed.
// Before, nothing is turned away for its predicted wait.
const warmup = mgclock.Second

// minRetry is the least span after which a caller is told to come back: a
// few steps of an engine, in which something may end.
const minRetry = 200 * mgclock.Millis(1)

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
	updatedAt    mgclock.Millis
	isBusy       bool
	doneTokens   float64 // tokens produced, fading
	busyMs       float64 // milliseconds with work, fading
	promptTokens float64 // uncached prompt tokens that reached a first token, fading
	delayMs      float64 // milliseconds from their starts, fading
	gapTokens    float64 // that followed another one, fading
	gapMs        float64 // milliseconds between them, fading
	biases       [priorityLevels]bias
}

// priorityLevels is the number of priorityLevels of priority that have a bias of their own.
const priorityLevels = 4

// bias compares predicted waits with those that came.
type bias struct {
	predictedMs float64 // milliseconds, fading
	waitedMs    float64 // milliseconds, fading
}

// priorWaitMs is a right prediction, in milliseconds, that every bias begins with, so
// that the first waits don't decide alone.
const priorWaitMs = 10_000.0

// maxBiasFactor is the greatest factor by which a bias lengthens a prediction. There is
// no least one: passing can make a wait next to nothing.
const maxBiasFactor = 2.0

// Busy tells whether from now on the upstream has work.
func (f *Forecast) Busy(now mgclock.Millis, busy bool) {
	f.advance(now)
	f.isBusy = busy
}

// Done tells that the upstream got work of a cost done.
func (f *Forecast) Done(now mgclock.Millis, cost float64) {
	f.advance(now)
	f.doneTokens += cost
}

// First tells that an answer's first token came a delay after its start.
func (f *Forecast) First(uncached int, delay mgclock.Millis) {
	const decay = 15.0 / 16 // an average over some 16 answers
	f.promptTokens = decay*f.promptTokens + float64(uncached+overheadTokens)
	f.delayMs = decay*f.delayMs + float64(delay)
}

// overheadTokens is the part of a first token's delay that comes with no prompt, in
// prompt tokens: about a step of the batch.
const overheadTokens = 256

// FirstToken returns the expected delay from a start to its first token.
func (f *Forecast) FirstToken(uncached int) mgclock.Millis {
	if f.promptTokens == 0 {
		return 0
	}
	return mgclock.Millis(f.delayMs / f.promptTokens * float64(uncached+overheadTokens))
}

// Next tells that an answer produced tokens within a span since its last one.
func (f *Forecast) Next(tokens int, interval mgclock.Millis) {
	const decay = 255.0 / 256 // an average over some steps of a batch
	f.gapTokens = decay*f.gapTokens + float64(tokens)
	f.gapMs = decay*f.gapMs + float64(interval)
}

// Rest returns the expected time that an answer of a length takes from its
// first token to its last.
func (f *Forecast) Rest(length float64) mgclock.Millis {
	if f.gapTokens == 0 {
		return 0
	}
	return mgclock.Millis(f.gapMs / f.gapTokens * length)
}

// Wait returns how long work of a cost takes the upstream.
func (f *Forecast) Wait(now mgclock.Millis, cost float64) mgclock.Millis {
	f.advance(now)
	if f.busyMs < float64(warmup) || cost <= 0 {
		return 0
	}
	if f.doneTokens <= 0 {
		return mgclock.Minute
	}
	return mgclock.Millis(min(cost*f.busyMs/f.doneTokens, float64(mgclock.Minute)))
}

// Waited tells that a request of a level of priority, which was predicted to
// wait, did wait for a span.
func (f *Forecast) Waited(level int, predicted, waited mgclock.Millis) {
	const decay = 63.0 / 64 // an average over some 64 requests
	b := f.bias(level)
	b.predictedMs = decay*b.predictedMs + float64(predicted)
	b.waitedMs = decay*b.waitedMs + float64(waited)
}

// Corrected returns a predicted wait corrected by what requests of the level
// met lately. Requests pass each other in ways that the work ahead doesn't
// show, and a lookup that is turned away for a wait that it would not have had
// is turned away in vain.
func (f *Forecast) Corrected(level int, predicted mgclock.Millis) mgclock.Millis {
	b := f.bias(level)
	factor := (b.waitedMs + priorWaitMs) / (b.predictedMs + priorWaitMs)
	return mgclock.Millis(float64(predicted) * min(factor, maxBiasFactor))
}

func (f *Forecast) bias(level int) *bias {
	return &f.biases[min(max(level, 0), priorityLevels-1)]
}

// Retry returns after which span a request that would wait for wait, and may
// only wait for slack, can come back with as much time as it has now: when the
// work ahead has shrunk so far, and an eighth of the wait more, as the rate is
// known no better. Who comes back too early is turned away again; so is who
// comes back while the overload goes on, as those who came since are ahead.
func Retry(wait, slack mgclock.Millis) mgclock.Millis {
	return max(wait+wait/8-max(slack, 0), minRetry)
}

// advance fades what was seen and counts the time with work.
func (f *Forecast) advance(now mgclock.Millis) {
	elapsed := float64(now - f.updatedAt)
	if elapsed <= 0 {
		return
	}
	f.updatedAt = now
	if !f.isBusy {
		return
	}
	decay := math.Exp(-elapsed / float64(averagingWindow))
	f.doneTokens *= decay
	f.busyMs = decay*f.busyMs + (1-decay)*float64(averagingWindow)
}
