package mgload

import (
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// paceSmoothing is the weight of the newest sample in the moving average of an
	// upstream's pace. A prompt that is prefilled (read) beside a run doubles the run's
	// time per token for some events; after ten events, about half a second, a slow
	// engine can be told from one that prefills a prompt beside its runs.
	paceSmoothing = 0.2
	// paceTTL is how long a pace counts after its last measurement. A slow engine gets
	// nothing new, and is tried again after that time.
	paceTTL = 5 * mgclock.Second
	// minKnownPaces is the minimum number of upstreams with a known pace for one of them to
	// count as slow.
	minKnownPaces = 3
	// slowFactor is how many times the median pace an upstream's pace must be to count as
	// slow. It is an estimate: a prompt that is prefilled beside a run doubles the run's
	// time per token for some events, which the average dampens only in part.
	slowFactor = 1.7
)

// pace is an upstream's measured time for each token, or for each call.
type pace struct {
	value float64 // ms
	at    mgclock.Millis
}

// RecordPace records the time that an upstream took for each of some tokens of a stream, or
// for a call.
func (c *Tracker) RecordPace(now mgclock.Millis, upstream string, perToken float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.paces == nil {
		c.paces = map[string]pace{}
	}
	p, known := c.paces[upstream]
	if !known || now >= p.at+paceTTL {
		p.value = perToken
	}
	p.value += paceSmoothing * (perToken - p.value)
	p.at = now
	c.paces[upstream] = p
}

// Paces returns the upstreams' recently measured paces, in ms.
func (c *Tracker) Paces(now mgclock.Millis) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[string]float64, len(c.paces))
	for upstream, p := range c.paces {
		if now >= p.at+paceTTL {
			delete(c.paces, upstream)
			continue
		}
		known[upstream] = p.value
	}
	return known
}

// SlowPenalty returns a function from an upstream's pace to the ms for each token, or call,
// by which it is slower than the median of the given paces. It returns 0 for upstreams that
// aren't slow, and for all where too few paces are known.
func SlowPenalty(paces []float64) func(pace float64) float64 {
	if len(paces) < minKnownPaces {
		return func(float64) float64 { return 0 }
	}
	sorted := slices.Sorted(slices.Values(paces))
	median := sorted[len(sorted)/2]
	return func(pace float64) float64 {
		if pace <= slowFactor*median {
			return 0
		}
		return pace - median
	}
}
