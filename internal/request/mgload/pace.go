package mgload

import (
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// paceSmoothing is the weight of the newest sample of an upstream's pace: a
	// prompt that is read beside a run doubles its pace for some events, and
	// ten of them, about half a second, tell a slow engine from that.
	paceSmoothing = 0.2
	// paceTTL is how long a pace is believed that nobody has measured since. A
	// slow engine gets nothing new, and is tried again after it.
	paceTTL = 5 * mgclock.Second
	// minKnownPaces is the least number of upstreams whose pace is known before one
	// is held against the others.
	minKnownPaces = 3
	// slowFactor is how many times the others' an upstream's pace must be to count
	// as slow. It is an estimate: a prompt that is read beside a run doubles its
	// pace for some events, which the average takes in part only.
	slowFactor = 1.7
)

// pace is an upstream's measured time for each token, or each call.
type pace struct {
	value float64 // ms
	at    mgclock.Millis
}

// Paced takes the time that an upstream took for each of some tokens of a
// stream, or for a call.
func (c *Count) Paced(now mgclock.Millis, upstream string, each float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.paces == nil {
		c.paces = map[string]pace{}
	}
	p, known := c.paces[upstream]
	if !known || now >= p.at+paceTTL {
		p.value = each
	}
	p.value += paceSmoothing * (each - p.value)
	p.at = now
	c.paces[upstream] = p
}

// Paces returns the upstreams' paces in ms that were measured lately.
func (c *Count) Paces(now mgclock.Millis) map[string]float64 {
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

// Slow returns by how many ms for each token, or call, the slow ones among some
// upstreams are slower than the others. It is empty where too few are known.
func Slow(paces []float64) func(pace float64) float64 {
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
