package mgwaitlist

import (
	"math"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// rateDecay is the time in which the weight of a grant falls to 1/e. Within that time the
// memory of several requests becomes free.
const rateDecay = 3 * mgclock.Second

// grantRate measures the memory that is granted per ms. It holds the granted tokens as a sum
// with exponentially decaying weights; the rate is this sum divided by rateDecay.
type grantRate struct {
	sum       float64 // tokens, weighted
	updatedAt mgclock.Millis
}

// add adds a grant of memory.
func (p *grantRate) add(now mgclock.Millis, tokens int) {
	p.sum = p.decayedSum(now) + float64(tokens)
	p.updatedAt = now
}

func (p *grantRate) decayedSum(now mgclock.Millis) float64 {
	return p.sum * math.Exp(-float64(now-p.updatedAt)/float64(rateDecay))
}

// timeToGrant returns how long it takes to grant some memory at this rate.
func (p *grantRate) timeToGrant(now mgclock.Millis, tokens int) mgclock.Millis {
	rate := p.decayedSum(now) / float64(rateDecay) // tokens per ms
	if rate <= 0 {
		return maxRetry
	}
	return mgclock.Millis(float64(tokens) / rate)
}
