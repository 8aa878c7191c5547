package mgplacement

import (
	"math/rand/v2"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// settleSpan is how long a change of plan must hold still. It exceeds the
	// flaps of a list while VMs are replaced.
	settleDelay = 30 * mgclock.Second
	// urgentSpan stands in for it where the engine holds nothing, so that there
	// is nothing to lose but a load.
	emptySettleDelay = 2 * mgclock.Second
	// dwellSpan is how long an engine keeps a model that it was ordered to load:
	// many times what a change costs, some ten seconds and its caches.
	dwellTime = 2 * mgclock.Minute
	// coldSpan is the span within which an agent that has just started begins.
	// It can't tell a lone replacement, which should be quick, from a cold start
	// of all, which the store's refusals then spread.
	startWindow = 10 * mgclock.Second
	// defaultRate is how many loads a second the store is taken to admit.
	defaultLoadRate = 5
)

// A Pacer tells one agent when to load a model. The zero Pacer wants nothing.
type Pacer struct {
	upstream string
	rate     float64
	rng      *rand.Rand

	plan       *Plan
	wanted     string
	loaded     string
	notBefore  mgclock.Millis // not before
	lastDue    string         // what Due returned last
	wasOrdered bool           // the model that is held was ordered, and stays
	keepUntil  mgclock.Millis // until then
	attempts   int
}

// NewPacer returns a pacer for an upstream. Rate is how many loads a second the
// weight store admits from the whole fleet, 0 for the default.
func NewPacer(upstream string, rate float64, seed uint64) *Pacer {
	if rate <= 0 {
		rate = defaultLoadRate
	}
	return &Pacer{
		upstream: upstream,
		rate:     rate,
		rng:      rand.New(rand.NewPCG(seed, 0)),
	}
}

// Loaded notes which model the engine holds, "" for none. It may be called as
// often as the engine is looked at. An engine that has lost its model, as one
// that restarted, loads again within coldSpan: others may have restarted with it.
func (p *Pacer) Loaded(now mgclock.Millis, model string) {
	if model == p.loaded {
		return
	}
	if model == "" {
		p.notBefore = max(p.notBefore, now+p.jitter(startWindow))
	}
	p.wasOrdered = model != "" && model == p.lastDue
	p.keepUntil = now + dwellTime
	p.loaded = model
	p.attempts = 0
}

// Plan takes a new plan.
func (p *Pacer) Plan(now mgclock.Millis, plan *Plan) {
	before := p.plan
	p.plan = plan
	wanted := plan.Model(p.upstream)
	if wanted == p.wanted && before != nil {
		return
	}
	p.wanted = wanted
	p.attempts = 0
	if before == nil {
		p.notBefore = now + p.jitter(startWindow)
		return
	}
	delay := settleDelay
	if p.loaded == "" {
		delay = emptySettleDelay
	}
	p.notBefore = now + delay + p.slotDelay(before)
}

// slot returns how long the engines before this one take to load.
func (p *Pacer) slotDelay(before *Plan) mgclock.Millis {
	for i, upstream := range Changes(before, p.plan) {
		if upstream == p.upstream {
			return mgclock.Millis(float64(i) * 1000 / p.rate)
		}
	}
	return 0
}

// Due returns the model to load now, or "". The caller loads it and calls Loaded
// or Refused.
func (p *Pacer) Due(now mgclock.Millis) string {
	if p.wanted == "" || p.wanted == p.loaded || now < p.notBefore {
		return ""
	}
	if p.wasOrdered && now < p.keepUntil {
		return ""
	}
	p.lastDue = p.wanted
	return p.wanted
}

// Refused notes that the store refused a load, or that it failed. The next try
// comes at a random time in a span that doubles up to twice what the loads of all
// engines take: from then on their tries come no faster than the store admits.
func (p *Pacer) Refused(now mgclock.Millis) {
	allLoads := mgclock.Millis(float64(max(1, p.plan.Len())) * 2000 / p.rate)
	window := min(allLoads, startWindow<<min(p.attempts, 16))
	p.attempts++
	p.notBefore = now + mgclock.Second + p.jitter(window)
}

func (p *Pacer) jitter(maxDelay mgclock.Millis) mgclock.Millis {
	return mgclock.Millis(p.rng.Int64N(int64(maxDelay) + 1))
}
