package mgplacement

import (
	"math/rand/v2"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// settleDelay is how long a change of plan must be stable. It exceeds the flaps of
	// a list while VMs are replaced.
	settleDelay = 30 * mgclock.Second
	// emptySettleDelay replaces settleDelay where the engine holds no model, so that a
	// wrong change costs only a load.
	emptySettleDelay = 2 * mgclock.Second
	// dwellTime is how long an engine keeps a model that it was ordered to load: many
	// times the cost of a change, which is some ten seconds and the engine's caches.
	dwellTime = 2 * mgclock.Minute
	// startWindow is the time within which an agent that has just started loads. It
	// can't distinguish a single replacement, which should be quick, from a cold start
	// of all agents, which the store's refusals then spread.
	startWindow = 10 * mgclock.Second
	// defaultLoadRate is the default of the loads a second that the store admits.
	defaultLoadRate = 5
)

// A Pacer determines when one agent loads a model. The zero Pacer loads none.
type Pacer struct {
	upstream string
	rate     float64
	rng      *rand.Rand

	plan       *Plan
	wanted     string
	loaded     string
	notBefore  mgclock.Millis // earliest time of the next load
	lastDue    string         // last result of Due
	wasOrdered bool           // the model that the engine holds was ordered by Due
	keepUntil  mgclock.Millis // the engine keeps such a model until then
	attempts   int
}

// NewPacer returns a pacer for an upstream. rate is the number of loads a second that
// the weight store admits from the whole fleet, 0 for the default.
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

// RecordLoaded records which model the engine holds, "" for none. It may be called with an
// unchanged model. An engine that has lost its model, such as one that restarted, loads
// again within startWindow, because others may have restarted with it.
func (p *Pacer) RecordLoaded(now mgclock.Millis, model string) {
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

// SetPlan applies a new plan.
func (p *Pacer) SetPlan(now mgclock.Millis, plan *Plan) {
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

// slotDelay returns the time that the engines before this one take to load.
func (p *Pacer) slotDelay(before *Plan) mgclock.Millis {
	for i, upstream := range Changes(before, p.plan) {
		if upstream == p.upstream {
			return mgclock.Millis(float64(i) * 1000 / p.rate)
		}
	}
	return 0
}

// Due returns the model to load now, or "". The caller loads it and then calls RecordLoaded
// or RecordRefusal.
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

// RecordRefusal records that the store refused a load, or that a load failed. The next
// attempt comes at a random time in a window that doubles up to twice the time that the
// loads of all engines take: from then on their attempts come no faster than the store
// admits.
func (p *Pacer) RecordRefusal(now mgclock.Millis) {
	allLoads := mgclock.Millis(float64(max(1, p.plan.Len())) * 2000 / p.rate)
	window := min(allLoads, startWindow<<min(p.attempts, 16))
	p.attempts++
	p.notBefore = now + mgclock.Second + p.jitter(window)
}

func (p *Pacer) jitter(maxDelay mgclock.Millis) mgclock.Millis {
	return mgclock.Millis(p.rng.Int64N(int64(maxDelay) + 1))
}
