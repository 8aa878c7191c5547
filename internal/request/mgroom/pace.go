package mgroom

import (
	"math"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// paceLife is the time in which what was given loses its weight to 1/e: some
// requests' worth of memory becomes free in it.
const paceLife = 3 * mgclock.Second

// pace is how much memory is given a ms, with the latest weighing most.
type pace struct {
	sum float64 // tokens, weighted
	at  mgclock.Millis
}

// count takes that memory was given.
func (p *pace) count(now mgclock.Millis, tokens int) {
	p.sum = p.now(now) + float64(tokens)
	p.at = now
}

func (p *pace) now(now mgclock.Millis) float64 {
	return p.sum * math.Exp(-float64(now-p.at)/float64(paceLife))
}

// span returns how long it takes to give some memory at this pace.
func (p *pace) span(now mgclock.Millis, tokens int) mgclock.Millis {
	rate := p.now(now) / float64(paceLife) // tokens a ms
	if rate <= 0 {
		return retryMax
	}
	return mgclock.Millis(float64(tokens) / rate)
}
