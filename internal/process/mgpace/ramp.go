package mgpace

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// WarmUpTime is the time until a new engine may use its full batch: several
// answers long, in which its prefix cache fills.
const WarmUpTime = 30 * mgclock.Second

// minShare is the initial share of a ramp. It is large enough to measure the
// engine, and to make it useful at once in an idle fleet.
const minShare = 0.1

// A Ramp computes the share of its batch that a new engine may use. The zero
// Ramp is that of an engine that started at time 0.
type Ramp struct {
	startedAt mgclock.Millis
}

// Start starts the ramp of a new or returned engine.
func (r *Ramp) Start(now mgclock.Millis) { r.startedAt = now }

// Share returns the share of the batch that the engine may use now.
func (r *Ramp) Share(now mgclock.Millis) float64 {
	part := float64(now-r.startedAt) / float64(WarmUpTime)
	return min(max(minShare+(1-minShare)*part, minShare), 1)
}

// Limit returns the number of answers that an engine with the given batch size
// may run now, at least 1.
func (r *Ramp) Limit(now mgclock.Millis, batch int) int {
	return max(int(r.Share(now)*float64(batch)), 1)
}

// Halve halves the share after a preemption or a stall during the warm-up. A
// warm engine is not affected: the scheduler's admission limits handle it.
func (r *Ramp) Halve(now mgclock.Millis) {
	gone := now - r.startedAt
	if gone < WarmUpTime {
		r.startedAt = now - max(gone, 0)/2
	}
}
