package mglimit

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// trialRate is granted whatever an upstream names, in requests a second: its answers
	// alone show that it takes more.
	trialRate = 0.2
	// keepSpan is for how long unused permits add up.
	keepSpan = 500 * mgclock.Millis(1)
	// fewGranters is the most granters of which each keeps an unused permit for good. What
	// more of them keep would be used in one moment.
	fewGranters = 4
	// whole is from what on a permit counts as whole: sums of parts of permits are rounded.
	whole = 1 - 1e-9
	// reservedSpan is how long a permit is kept for a request that was given a place.
	reservedSpan = mgclock.Second
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
		rate:     max(rate, trialRate) * float64(own) / float64(all),
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
	mu  sync.Mutex
	all map[string]*bucket
}

// bucket is a token bucket, whose tokens are permits.
type bucket struct {
	tokens   float64 // negative after forced requests
	at       mgclock.Millis
	reserved map[string]mgclock.Millis // until when, by request
}

// Take gives a permit, or tells the time until there may be one.
func (p *Permits) Take(now mgclock.Millis, ask Ask, part Part) (wait mgclock.Millis, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucket(now, ask.Upstream, part)
	if until, reserved := b.reserved[ask.Request]; reserved && now < until {
		delete(b.reserved, ask.Request)
		return 0, true
	}
	if b.tokens >= whole || ask.Forced {
		b.tokens--
		return 0, true
	}
	return mgclock.Millis(math.Ceil((whole - b.tokens) / part.rate * float64(mgclock.Second))), false
}

// Left returns how many permits there are now.
func (p *Permits) Left(now mgclock.Millis, upstream string, part Part) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(int(p.bucket(now, upstream, part).tokens+1-whole), 0)
}

// Reserve takes a permit for a request that was given a place and will ask for it.
func (p *Permits) Reserve(now mgclock.Millis, upstream, request string, part Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucket(now, upstream, part)
	b.tokens--
	for name, until := range b.reserved {
		if now >= until {
			delete(b.reserved, name)
		}
	}
	if b.reserved == nil {
		b.reserved = map[string]mgclock.Millis{}
	}
	b.reserved[request] = now + reservedSpan
}

// bucket returns an upstream's bucket as it is now. It is called with mu held.
func (p *Permits) bucket(now mgclock.Millis, upstream string, part Part) *bucket {
	b := p.all[upstream]
	if b == nil {
		// Of granters that begin together each has its first permit at another time.
		b = &bucket{
			tokens: rand.Float64(),
			at:     now,
		}
		if p.all == nil {
			p.all = map[string]*bucket{}
		}
		p.all[upstream] = b
	}
	b.fill(now, part)
	return b
}

// fill adds the permits that have come since.
func (b *bucket) fill(now mgclock.Millis, part Part) {
	if now <= b.at {
		return
	}
	b.tokens += part.rate * float64(now-b.at) / float64(mgclock.Second)
	b.at = now
	kept := part.rate * float64(keepSpan) / float64(mgclock.Second)
	switch {
	case kept >= 1:
		b.tokens = min(b.tokens, kept)
	case part.granters <= fewGranters:
		b.tokens = min(b.tokens, 1)
	case b.tokens >= 1+kept:
		// The permit has lapsed unless it came within keepSpan.
		_, b.tokens = math.Modf(b.tokens)
		if b.tokens < kept {
			b.tokens++
		}
	}
}

// Forget drops the upstreams that are gone: keep says which aren't.
func (p *Permits) Forget(keep func(upstream string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for upstream := range p.all {
		if !keep(upstream) {
			delete(p.all, upstream)
		}
	}
}
