package mgadmission

import (
	"math"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// averagingWindow is the time over which a Forecast averages. With a shorter one, a single
// long step looks like a slow upstream; with a longer one, an upstream that becomes slow is
// noticed only after whole deadlines.
const averagingWindow = 5 * mgclock.Second

// warmup is the working time after which the measured rate is used. Before that, nothing is
// refused for its predicted wait.
const warmup = mgclock.Second

// minRetry is the minimum time after which a caller may come back: a few steps of an
// engine, in which something may end.
const minRetry = 200 * mgclock.Millis(1)

// PromptCost is the cost of computing a prompt token, relative to that of producing a
// token: prompts are computed in parallel, answers token by token in a batch.
const PromptCost = 0.05

// Cost returns a request's expected cost, in units of one produced token.
func Cost(uncached int, output float64) float64 {
	return PromptCost*float64(uncached) + output
}

// A Forecast predicts waits from the work that the upstream has done. The zero Forecast has
// no data, predicts no wait and is ready for use.
type Forecast struct {
	updatedAt    mgclock.Millis
	isBusy       bool
	doneCost     float64 // cost of the work done, see RecordWork, decayed
	busyMs       float64 // milliseconds with work, decayed
	promptTokens float64 // uncached prompt tokens of answers that reached their first token, each plus overheadTokens, decayed
	delayMs      float64 // milliseconds from the starts of these prompts to their first tokens, decayed
	gapTokens    float64 // tokens that followed another one, decayed
	gapMs        float64 // milliseconds between them, decayed
	biases       [priorityLevels]bias
}

// priorityLevels is the number of priority levels with a bias of their own.
const priorityLevels = 4

// bias compares predicted waits with actual ones.
type bias struct {
	predictedMs float64 // decayed
	waitedMs    float64 // decayed
}

// priorWaitMs is the wait, in milliseconds, of a pseudo-observation with which every bias
// begins: a wait that was predicted correctly. With it the first waits don't decide alone.
const priorWaitMs = 10_000.0

// maxBiasFactor is the maximum factor by which a bias lengthens a prediction. There is no
// minimum: overtaking can make a wait next to nothing.
const maxBiasFactor = 2.0

// SetBusy sets whether the upstream has work from now on.
func (f *Forecast) SetBusy(now mgclock.Millis, busy bool) {
	f.advance(now)
	f.isBusy = busy
}

// RecordWork records that the upstream has done work of a cost.
func (f *Forecast) RecordWork(now mgclock.Millis, cost float64) {
	f.advance(now)
	f.doneCost += cost
}

// RecordFirstToken records that an answer's first token came a delay after its start.
func (f *Forecast) RecordFirstToken(uncached int, delay mgclock.Millis) {
	const decay = 15.0 / 16 // averages over some 16 answers
	f.promptTokens = decay*f.promptTokens + float64(uncached+overheadTokens)
	f.delayMs = decay*f.delayMs + float64(delay)
}

// overheadTokens is the part of a first token's delay that is independent of the prompt, in
// prompt tokens: about a step of the batch.
const overheadTokens = 256

// FirstToken returns the expected delay from a start to its first token.
func (f *Forecast) FirstToken(uncached int) mgclock.Millis {
	if f.promptTokens == 0 {
		return 0
	}
	return mgclock.Millis(f.delayMs / f.promptTokens * float64(uncached+overheadTokens))
}

// RecordTokens records that an answer produced tokens within an interval since its last
// one.
func (f *Forecast) RecordTokens(tokens int, interval mgclock.Millis) {
	const decay = 255.0 / 256 // averages over some steps of a batch
	f.gapTokens = decay*f.gapTokens + float64(tokens)
	f.gapMs = decay*f.gapMs + float64(interval)
}

// OutputTime returns the expected time from the first token to the last of an answer of a
// length.
func (f *Forecast) OutputTime(length float64) mgclock.Millis {
	if f.gapTokens == 0 {
		return 0
	}
	return mgclock.Millis(f.gapMs / f.gapTokens * length)
}

// TimeFor returns how long the upstream takes for work of a cost.
func (f *Forecast) TimeFor(now mgclock.Millis, cost float64) mgclock.Millis {
	f.advance(now)
	if f.busyMs < float64(warmup) || cost <= 0 {
		return 0
	}
	if f.doneCost <= 0 {
		return mgclock.Minute
	}
	return mgclock.Millis(min(cost*f.busyMs/f.doneCost, float64(mgclock.Minute)))
}

// RecordWait records the predicted and the actual wait of a request of a priority level.
func (f *Forecast) RecordWait(level int, predicted, waited mgclock.Millis) {
	const decay = 63.0 / 64 // averages over some 64 requests
	b := f.bias(level)
	b.predictedMs = decay*b.predictedMs + float64(predicted)
	b.waitedMs = decay*b.waitedMs + float64(waited)
}

// Correct returns a predicted wait, corrected by the recent waits of requests of the level.
// Requests overtake each other, which the work ahead doesn't show, and a lookup must not be
// refused for a wait that it would not have had.
func (f *Forecast) Correct(level int, predicted mgclock.Millis) mgclock.Millis {
	b := f.bias(level)
	factor := (b.waitedMs + priorWaitMs) / (b.predictedMs + priorWaitMs)
	return mgclock.Millis(float64(predicted) * min(factor, maxBiasFactor))
}

func (f *Forecast) bias(level int) *bias {
	return &f.biases[min(max(level, 0), priorityLevels-1)]
}

// RetryAfter returns the time after which a request can be retried, if it then has as much
// time to its deadline as now. The parameter wait is how long it would have to wait now, and
// slack is how long it may wait.
// That is when the work ahead has shrunk far enough, plus an eighth of the wait for the
// error of the measured rate. A caller that comes back earlier is refused again; so is one
// that comes back while the overload goes on, since requests that came in between are
// ahead of it.
func RetryAfter(wait, slack mgclock.Millis) mgclock.Millis {
	return max(wait+wait/8-max(slack, 0), minRetry)
}

// advance decays the measurements until now and counts the time with work.
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
	f.doneCost *= decay
	f.busyMs = decay*f.busyMs + (1-decay)*float64(averagingWindow)
}
