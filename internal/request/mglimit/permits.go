package mglimit

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// minRate is granted in any case, in requests a second: only an upstream's answers show
	// that it takes more.
	minRate = 0.2
	// accumulationWindow is the time for which unused permits accumulate.
	accumulationWindow = 500 * mgclock.Millis(1)
	// maxGrantersWithoutExpiry is the maximum number of granters up to which each keeps an
	// unused permit without expiry. With more granters, the permits that they keep could
	// be used all at once.
	maxGrantersWithoutExpiry = 4
	// wholePermit is the least amount that counts as a permit: sums of fractions are
	// rounded.
	wholePermit = 1 - 1e-9
	// reservationTTL is how long a permit is reserved for a request that was given a place.
	reservationTTL = mgclock.Second
)

// A Share is the part of an upstream's limit that one granter grants.
type Share struct {
	rate     float64 // requests a second
	granters float64 // approximate number of processes that grant parts
}

// ShareOf returns the part of a limit that a granter grants, by the numbers of processes
// that use it (own) and of all that may send to the upstream.
func ShareOf(rate float64, own, all int) Share {
	all = max(all, 1)
	own = min(max(own, 1), all)
	return Share{
		rate:     max(rate, minRate) * float64(own) / float64(all),
		granters: float64(all) / float64(own),
	}
}

// Rate returns the part in requests a second.
func (p Share) Rate() float64 { return p.rate }

// initialPermits returns the level at which a granter's bucket begins. It is random, so that
// granters that begin together have their first permits at different times. The request
// whose answer named the limit has been sent, so no granter has one before the interval that
// the limit asks for between two requests.
func (p Share) initialPermits() float64 { return rand.Float64() * max(1-1/p.granters, 0) }

// A PermitRequest is a request for a permit.
type PermitRequest struct {
	Upstream string
	Request  string
	// Forced marks a request that is sent in any case, such as to the upstream that has
	// the copy of its generation's memory. Its permit is subtracted from later ones.
	Forced bool
}

// Permits are the token buckets of a granter. The zero Permits has granted none and is
// ready for use by several goroutines.
type Permits struct {
	taking  sync.Mutex // held by Take and from Hold to its release
	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is a token bucket whose tokens are permits.
type bucket struct {
	permits      float64 // negative after forced requests
	filledAt     mgclock.Millis
	reservations map[string]mgclock.Millis // expiry by request
}

// Take grants a permit, or returns the time until there may be one.
func (p *Permits) Take(now mgclock.Millis, request PermitRequest, share Share) (wait mgclock.Millis, ok bool) {
	p.taking.Lock()
	defer p.taking.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucket(now, request.Upstream, share)
	if until, reserved := b.reservations[request.Request]; reserved && now < until {
		delete(b.reservations, request.Request)
		return 0, true
	}
	if b.permits >= wholePermit || request.Forced {
		b.permits--
		return 0, true
	}
	return mgclock.Millis(math.Ceil((wholePermit - b.permits) / share.rate * float64(mgclock.Second))), false
}

// Hold makes Take wait until release is called, so that the permits that Available returns can
// be assigned and reserved.
func (p *Permits) Hold() (release func()) {
	p.taking.Lock()
	return p.taking.Unlock
}

// Available returns how many permits can be granted now. Unless Take is held, it may grant
// them meanwhile.
func (p *Permits) Available(now mgclock.Millis, upstream string, share Share) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(int(p.bucket(now, upstream, share).permits+1-wholePermit), 0)
}

// Reserve takes a permit for a request that was given a place and will ask for the permit.
func (p *Permits) Reserve(now mgclock.Millis, upstream, request string, share Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.bucket(now, upstream, share)
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

// bucket returns an upstream's bucket, refilled until now. It is called with mu held.
func (p *Permits) bucket(now mgclock.Millis, upstream string, share Share) *bucket {
	b := p.buckets[upstream]
	if b == nil {
		b = &bucket{
			permits:  share.initialPermits(),
			filledAt: now,
		}
		if p.buckets == nil {
			p.buckets = map[string]*bucket{}
		}
		p.buckets[upstream] = b
	}
	b.refill(now, share)
	return b
}

// refill adds the permits since the last call.
func (b *bucket) refill(now mgclock.Millis, share Share) {
	if now <= b.filledAt {
		return
	}
	b.permits += share.rate * float64(now-b.filledAt) / float64(mgclock.Second)
	b.filledAt = now
	kept := share.rate * float64(accumulationWindow) / float64(mgclock.Second)
	switch {
	case kept >= 1:
		b.permits = min(b.permits, kept)
	case share.granters <= maxGrantersWithoutExpiry:
		b.permits = min(b.permits, 1)
	case b.permits >= 1+kept:
		// All but the fractional part of the permits has expired, except one permit that
		// became whole within accumulationWindow.
		_, b.permits = math.Modf(b.permits)
		if b.permits < kept {
			b.permits++
		}
	}
}

// Forget drops the buckets of all upstreams except those for which keep is true.
func (p *Permits) Forget(keep func(upstream string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for upstream := range p.buckets {
		if !keep(upstream) {
			delete(p.buckets, upstream)
		}
	}
}
