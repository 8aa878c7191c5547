package mgload

import (
	"math"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// faultDecay is the time in which the weight of a fault falls to 1/e. Engines that
	// reset all requests do so for some seconds; one fault in ten seconds is an ordinary
	// end of a connection.
	faultDecay = 5 * mgclock.Second
	// weightAfterAnswer is the fraction of the weight of an upstream's faults that remains
	// after an answer.
	weightAfterAnswer = 0.2
	// faultCost is the cost of each fault, in ms: about that of a run. With a far higher
	// cost, where there are few plain upstreams (without a process of this system) and each
	// loses an answer now and then, all requests would go to the one whose last loss is the
	// oldest.
	faultCost = 100.0
	// faultThreshold is the weight from which an upstream gets nothing new while others are
	// healthy: two faults within seconds, or of two entries. An upstream that fails at once
	// has nothing to do, looks the cheapest of all and attracts each next request.
	faultThreshold = 1.5
	// minFaultWeight is the weight below which a fault is dropped.
	minFaultWeight = 0.05
)

// fault is the weight of an upstream's faults at a time.
type fault struct {
	weight float64
	at     mgclock.Millis
}

// weightAt returns the weight that remains at a time.
func (f fault) weightAt(now mgclock.Millis) float64 {
	return f.weight * math.Exp(-float64(now-f.at)/float64(faultDecay))
}

// RecordFault records that a request ended at an upstream without an answer that the
// upstream itself made: no connection, a reset, silence until the end, or bytes that
// aren't an answer.
func (c *Tracker) RecordFault(now mgclock.Millis, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults == nil {
		c.faults = map[string]fault{}
	}
	c.faults[upstream] = fault{
		weight: c.faults[upstream].weightAt(now) + 1,
		at:     now,
	}
}

// RecordAnswer records that an upstream answered.
func (c *Tracker) RecordAnswer(now mgclock.Millis, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, known := c.faults[upstream]
	if !known {
		return
	}
	f = fault{
		weight: weightAfterAnswer * f.weightAt(now),
		at:     now,
	}
	if f.weight < minFaultWeight {
		delete(c.faults, upstream)
		return
	}
	c.faults[upstream] = f
}

// Faults returns the weights of the upstreams' faults, by upstream.
func (c *Tracker) Faults(now mgclock.Millis) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	weights := make(map[string]float64, len(c.faults))
	for upstream, f := range c.faults {
		weight := f.weightAt(now)
		if weight < minFaultWeight {
			delete(c.faults, upstream)
			continue
		}
		weights[upstream] = weight
	}
	return weights
}

// widespread reports whether an entry's faults are probably its own, or those of its links:
// more than half of the upstreams that it uses have one.
func (r Report) widespread() bool {
	count := 0
	for _, weight := range r.Faults {
		if weight >= 1 {
			count++
		}
	}
	return count > 1 && 2*count > len(r.Loads)
}

// Faulty returns a predicate, which reports whether an upstream with a weight of faults
// gets nothing new, among upstreams with the given weights. It is always false where more
// than half would be faulty: the cause is then the calling process, or the network.
func Faulty(weights []float64) func(weight float64) bool {
	count := 0
	for _, weight := range weights {
		if weight >= faultThreshold {
			count++
		}
	}
	if 2*count > len(weights) {
		return func(float64) bool { return false }
	}
	return func(weight float64) bool { return weight >= faultThreshold }
}
