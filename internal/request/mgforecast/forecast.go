package mgforecast

import (
	"math"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// decay is the time in which the weight of an event falls to 1/e. It spans about as many grants
// as there are engines, and is short against a wave of callers.
const decay = 3 * mgclock.Second

// rate is an exponentially decaying sum of amounts. The zero rate is 0.
type rate struct {
	sum       float64
	updatedAt mgclock.Millis
}

func (r *rate) add(now mgclock.Millis, amount float64) {
	r.sum = r.at(now)*float64(decay) + amount
	r.updatedAt = now
}

// at returns the rate per ms.
func (r *rate) at(now mgclock.Millis) float64 {
	return r.sum * math.Exp(-float64(max(now-r.updatedAt, 0))/float64(decay)) / float64(decay)
}

// Never is the time of a start that isn't expected.
const Never = mgclock.Millis(math.MaxInt64 / 4)

// minSampleTime is how long requests must have waited for the rate at which they are served to be
// known.
const minSampleTime = decay / 2

// A Forecast predicts starts by the rates at which a service was recently asked and served. The
// zero Forecast knows no rates. It isn't safe for concurrent use.
type Forecast struct {
	offered   rate
	served    rate
	busySince mgclock.Millis // since when requests have waited without a break
	isBusy    bool
	error     rate // absolute errors of predictions, ms
	errors    rate // number of them
}

// Offer records a request's cost as it arrives.
func (f *Forecast) Offer(now mgclock.Millis, cost float64) { f.offered.add(now, cost) }

// Serve records the cost of a request that was given its capacity.
func (f *Forecast) Serve(now mgclock.Millis, cost float64) { f.served.add(now, cost) }

// SetBusy records whether requests wait that can't be served now.
func (f *Forecast) SetBusy(now mgclock.Millis, isBusy bool) {
	if isBusy && !f.isBusy {
		f.busySince = now
	}
	f.isBusy = isBusy
}

// IsKnown reports whether the service's rate is known: it is only measured while requests wait.
func (f *Forecast) IsKnown(now mgclock.Millis) bool {
	return f.isBusy && now >= f.busySince+minSampleTime && f.served.at(now) > 0
}

// Start returns when a request is expected to get its capacity, given the cost of those before it.
func (f *Forecast) Start(now mgclock.Millis, before float64) mgclock.Millis {
	return startAt(now, before, f.served.at(now))
}

// StartBehind returns when a request is expected to get its capacity that all later ones may
// overtake.
func (f *Forecast) StartBehind(now mgclock.Millis, before float64) mgclock.Millis {
	return startAt(now, before, f.served.at(now)-f.offered.at(now))
}

func startAt(now mgclock.Millis, before, rate float64) mgclock.Millis {
	if rate <= 0 || before/rate > float64(Never) {
		return Never
	}
	return now + mgclock.Millis(before/rate)
}

// RecordError records by how much a prediction was wrong.
func (f *Forecast) RecordError(now, predicted, actual mgclock.Millis) {
	f.error.add(now, math.Abs(float64(actual-predicted)))
	f.errors.add(now, 1)
}

// Margin returns the time by which a start may be earlier than it is expected: the recent mean absolute error
// of predictions, or 0 without any.
func (f *Forecast) Margin(now mgclock.Millis) mgclock.Millis {
	count := f.errors.at(now)
	if count <= 0 {
		return 0
	}
	return mgclock.Millis(f.error.at(now) / count)
}

// Rates returns the recent rates in engines: ms of an engine in a ms.
func (f *Forecast) Rates(now mgclock.Millis) (offered, served float64) {
	return f.offered.at(now), f.served.at(now)
}
