package mgpace

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// WarmUpTime is the span over which a new engine comes to take its full batch: some
// answers long, in which its prefix cache fills.
const WarmUpTime = 30 * mgclock.Second

// minShare is the share that a ramp begins with: enough that something is
// learned of the engine, and an idle fleet can use it at once.
const minShare = 0.1

// A Ramp is the share of its batch that an engine takes. The zero Ramp is that
// of an engine that began at time 0.
type Ramp struct {
	startedAt mgclock.Millis
}

// Start starts the ramp of a new or returned engine.
func (r *Ramp) Start(now mgclock.Millis) { r.startedAt = now }

// Share returns the part of the batch that the engine may take now.
func (r *Ramp) Share(now mgclock.Millis) float64 {
	part := float64(now-r.startedAt) / float64(WarmUpTime)
	return min(max(minShare+(1-minShare)*part, minShare), 1)
}

// Limit returns the number of answers that an engine with a full batch of
// batch may run now, at least 1.
func (r *Ramp) Limit(now mgclock.Millis, batch int) int {
	return max(int(r.Share(now)*float64(batch)), 1)
}

// Halve halves the share, after a preemption or a stall while warming up. An
// engine that is warm is left alone: its gate looks after it.
func (r *Ramp) Halve(now mgclock.Millis) {
	gone := now - r.startedAt
	if gone < WarmUpTime {
		r.startedAt = now - max(gone, 0)/2
	}
}
