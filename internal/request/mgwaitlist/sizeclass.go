package mgwaitlist

import (
	"math"
	"math/bits"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// minServedRatio is the part of the share of all requests that get places below which a size
	// class goes first. Callers with large requests are promised half of it.
	minServedRatio = 0.7
	// classDecay is the time in which the weight of a request in its class falls to 1/e. The
	// largest tenth of a kind has some requests a second.
	classDecay = 20 * mgclock.Second
	// minClassRequests is how many recent requests a class needs to be compared.
	minClassRequests = 2.0
	// minClassOutput is the output below which sizes aren't told apart, tokens.
	minClassOutput = 32
)

// sizeClass is a class of requests of one rank whose prompts, and whose outputs, differ by less than
// a factor of two.
type sizeClass struct {
	rank       int
	promptBits int
	outputBits int
}

func classOf(r Request) sizeClass {
	return sizeClass{
		rank:       r.Rank,
		promptBits: bits.Len(uint(r.prompt())),
		outputBits: bits.Len(uint(max(r.Output, minClassOutput))),
	}
}

// decayingCount is a count whose increments lose weight with time. The zero count is 0.
type decayingCount struct {
	value     float64
	updatedAt mgclock.Millis
}

func (c *decayingCount) add(now mgclock.Millis) {
	c.value = c.at(now) + 1
	c.updatedAt = now
}

func (c *decayingCount) at(now mgclock.Millis) float64 {
	return c.value * math.Exp(-float64(max(now-c.updatedAt, 0))/float64(classDecay))
}

// classCounts counts the requests of a class, and those of them that got places.
type classCounts struct {
	offered decayingCount
	served  decayingCount
}

func (c *classCounts) servedShare(now mgclock.Millis) float64 {
	return c.served.at(now) / max(c.offered.at(now), 1)
}

// sizeClasses compares how often requests of different sizes get places. The order of the waiting
// list would starve the largest otherwise. The zero sizeClasses is empty.
type sizeClasses struct {
	byClass map[sizeClass]*classCounts
	all     classCounts
}

func (s *sizeClasses) countsOf(r Request) *classCounts {
	if s.byClass == nil {
		s.byClass = map[sizeClass]*classCounts{}
	}
	class := classOf(r)
	if s.byClass[class] == nil {
		s.byClass[class] = &classCounts{}
	}
	return s.byClass[class]
}

func (s *sizeClasses) offer(now mgclock.Millis, r Request) {
	s.all.offered.add(now)
	s.countsOf(r).offered.add(now)
}

func (s *sizeClasses) serve(now mgclock.Millis, r Request) {
	s.all.served.add(now)
	s.countsOf(r).served.add(now)
}

// isUnderserved reports whether requests of a size get places much less often than all.
func (s *sizeClasses) isUnderserved(now mgclock.Millis, r Request) bool {
	counts := s.countsOf(r)
	return counts.offered.at(now) >= minClassRequests &&
		counts.servedShare(now) < minServedRatio*s.all.servedShare(now)
}
