package mglimit

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// minRate is granted whatever an upstream names, in requests a second: its answers
	// alone show that it takes more.
	minRate = 0.2
	// accumulationWindow is for how long unused permits add up.
	accumulationWindow = 500 * mgclock.Millis(1)
	// maxKeepingGranters is the most granters of which each keeps an unused permit for good. What
	// more of them keep would be used in one moment.
	maxKeepingGranters = 4
	// wholePermit is from what on a permit counts as wholePermit: sums of parts of permits are rounded.
	wholePermit = 1 - 1e-9
	// reservationTTL is how long a permit is kept for a request that was given a place.
	reservationTTL = mgclock.Second
)

// A Part is what one granter gives of an upstream's limit.
type Part struct {
	rate     float64 // requests a second
	granters float64 // about how many processes grant parts
}

// PartOf returns the part of a limit that a granter gives to the processes that turn to it,
// out of all that may send to the upstream.
func PartOf(rate float64, own, all int) Part {
	all = max(all, 1)
	own = min(max(own, 1), all)
	return Part{
		rate:     max(rate, minRate) * float64(own) / float64(all),
		granters: float64(all) / float64(own),
	}
}

// Rate returns the requests a second of the part.
func (p Part) Rate() float64 { return p.rate }

// An Ask asks for a permit.
type Ask struct {
	Upstream string
	Request  string
	// Forced says that the request is sent in any case, as where its generation's copy is:
	// it is taken off what comes.
	Forced bool
}

// Permits are what a granter gives. The zero Permits has given none and is ready for use by
// several goroutines.
type Permits struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is a token bucket, whose tokens are permits.
type bucket struct {
	permits      float64 // negative after forced requests
	filledAt     mgclock.Millis
	reservations map[string]mgclock.Millis // until when, by request
}

// Take gives a permit, or tells the time until there may be one.
func (p *Permits) Take(now mgclock.Millis, ask Ask, part Part) (wait mgclock.Millis, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucket(now, ask.Upstream, part)
	if until, reserved := b.reservations[ask.Request]; reserved && now < until {
		delete(b.reservations, ask.Request)
		return 0, true
	}
	if b.permits >= wholePermit || ask.Forced {
		b.permits--
		return 0, true
	}
	return mgclock.Millis(math.Ceil((wholePermit - b.permits) / part.rate * float64(mgclock.Second))), false
}

// Left returns how many permits there are now.
func (p *Permits) Left(now mgclock.Millis, upstream string, part Part) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(int(p.bucket(now, upstream, part).permits+1-wholePermit), 0)
}

// Reserve takes a permit for a request that was given a place and will ask for it.
func (p *Permits) Reserve(now mgclock.Millis, upstream, request string, part Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucket(now, upstream, part)
	b.permits--
	for name, until := range b.reservations {
		if now >= until {
			delete(b.reservations, name)
		}
	}
	if b.reservations == nil {
		b.reservations = map[string]mgclock.Millis{}
	}
	b.reservations[request] = now + reservationTTL
}

// bucket returns an upstream's bucket as it is now. It is called with mu held.
func (p *Permits) bucket(now mgclock.Millis, upstream string, part Part) *bucket {
	b := p.buckets[upstream]
	if b == nil {
		// Of granters that begin together each has its first permit at another time.
		b = &bucket{
			permits:  rand.Float64(),
			filledAt: now,
		}
		if p.buckets == nil {
			p.buckets = map[string]*bucket{}
		}
		p.buckets[upstream] = b
	}
	b.refill(now, part)
	return b
}

// refill adds the permits that have come since.
func (b *bucket) refill(now mgclock.Millis, part Part) {
	if now <= b.filledAt {
		return
	}
	b.permits += part.rate * float64(now-b.filledAt) / float64(mgclock.Second)
	b.filledAt = now
	kept := part.rate * float64(accumulationWindow) / float64(mgclock.Second)
	switch {
	case kept >= 1:
		b.permits = min(b.permits, kept)
	case part.granters <= maxKeepingGranters:
		b.permits = min(b.permits, 1)
	case b.permits >= 1+kept:
		// The permit has lapsed unless it came within keepSpan.
		_, b.permits = math.Modf(b.permits)
		if b.permits < kept {
			b.permits++
		}
	}
}

// Forget drops the upstreams that are gone: keep says which aren't.
func (p *Permits) Forget(keep func(upstream string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for upstream := range p.buckets {
		if !keep(upstream) {
			delete(p.buckets, upstream)
		}
	}
}
