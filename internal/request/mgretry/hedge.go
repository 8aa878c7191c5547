package mgretry

import (
	"math/bits"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// minSamples is the number of delays from which their 95th percentile is used:
// five of them lie above it.
const minSamples = 100

// decayPeriod is the number of delays after which all counts are halved, so
// that the percentile follows an upstream that becomes slower or faster within
// about that many.
const decayPeriod = 1000

// bucketCount is the number of buckets of delays: four per octave, up to hours.
const bucketCount = 96

// A Hedge decides when a lookup is sent a second time. The zero Hedge has no
// delays and sends none.
type Hedge struct {
	budget Budget
	total  atomic.Int64
	counts [bucketCount]atomic.Int64
}

// Observe records the delay of an answered lookup. Ratio is the fraction of a
// hedge that the lookup earns, from 0 to 1.
func (h *Hedge) Observe(delay mgclock.Millis, ratio float64) {
	h.budget.Earn(ratio)
	h.counts[bucketOf(delay)].Add(1)
	if h.total.Add(1) == decayPeriod {
		h.decay()
	}
}

// Delay returns the delay after which a second copy should be sent, or false
// while there are fewer than minSamples delays.
func (h *Hedge) Delay() (mgclock.Millis, bool) {
	total := h.total.Load()
	if total < minSamples {
		return 0, false
	}
	above := total / 20
	for s := bucketCount - 1; s > 0; s-- {
		above -= h.counts[s].Load()
		if above < 0 {
			return bucketStart(s + 1), true
		}
	}
	return bucketStart(1), true
}

// Allow reports whether the budget allows a second copy, and spends it.
func (h *Hedge) Allow() bool { return h.budget.Spend() }

// decay halves all counts. Delays counted concurrently may be lost or not
// halved, which shifts the percentile's rank by no more than their number.
func (h *Hedge) decay() {
	sum := int64(0)
	for s := range h.counts {
		half := h.counts[s].Load() / 2
		h.counts[s].Store(half)
		sum += half
	}
	h.total.Store(sum)
}

// bucketOf returns the bucket of a delay: its octave and the quarter of that.
func bucketOf(delay mgclock.Millis) int {
	d := uint64(max(delay, 0)) + 4
	octave := bits.Len64(d) - 3
	quarter := int(d>>octave) - 4
	return min(4*octave+quarter, bucketCount-1)
}

// bucketStart returns the minimum delay of a bucket.
func bucketStart(s int) mgclock.Millis {
	return mgclock.Millis((s%4+4)<<(s/4)) - 4
}
