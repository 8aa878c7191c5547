package mgroom

import (
	"math"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// rateDecay is the time in which what was given loses its weight to 1/e: some
// requests' worth of memory becomes free in it.
const rateDecay = 3 * mgclock.Second

// grantRate is how much memory is given a ms, with the latest weighing most.
type grantRate struct {
	sum       float64 // tokens, weighted
	updatedAt mgclock.Millis
}

// add takes that memory was given.
func (p *grantRate) add(now mgclock.Millis, tokens int) {
	p.sum = p.decayedSum(now) + float64(tokens)
	p.updatedAt = now
}

func (p *grantRate) decayedSum(now mgclock.Millis) float64 {
	return p.sum * math.Exp(-float64(now-p.updatedAt)/float64(rateDecay))
}

// timeToGrant returns how long it takes to give some memory at this pace.
func (p *grantRate) timeToGrant(now mgclock.Millis, tokens int) mgclock.Millis {
	rate := p.decayedSum(now) / float64(rateDecay) // tokens a ms
	if rate <= 0 {
		return maxRetry
	}
	return mgclock.Millis(float64(tokens) / rate)
}
