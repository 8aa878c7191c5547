package mgfence

import (
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// The defaults of a Spec.
const (
	// DefaultLeaseTTL is short against the seconds in which a change must be in
	// force, and long against a look at the list.
	DefaultLeaseTTL = 5 * mgclock.Second
	// DefaultListLag is how far the list of VMs may lag behind the platform.
	DefaultListLag = 5 * mgclock.Second
	// DefaultMaxPause is the longest pause that may go unseen between the last look
	// at the clock and the sending.
	DefaultMaxPause = 2 * mgclock.Second
	// DefaultMaxHold is how long an order may wait between decision and sending.
	DefaultMaxHold = mgclock.Second
)

const (
	// startBits hold the start of a process in ms from the epoch: 69 years.
	startBits = 41
	// epoch is 2026-01-01 in Unix ms.
	epoch = 1767225600000
)

// A Spec describes an agent's life. Spans left 0 take the defaults.
type Spec struct {
	// StartedUnix is the process's start in Unix ms.
	StartedUnix int64
	// StartedAt is the same moment by the clock of the other calls.
	StartedAt mgclock.Millis
	// EngineChecks is set when the engine refuses old fencing numbers.
	EngineChecks bool

	LeaseTTL mgclock.Millis
	ListLag  mgclock.Millis
	MaxPause mgclock.Millis
	MaxHold  mgclock.Millis
}

func (s Spec) withDefaults() Spec {
	s.LeaseTTL = orDefault(s.LeaseTTL, DefaultLeaseTTL)
	s.ListLag = orDefault(s.ListLag, DefaultListLag)
	s.MaxPause = orDefault(s.MaxPause, DefaultMaxPause)
	s.MaxHold = orDefault(s.MaxHold, DefaultMaxHold)
	return s
}

func orDefault(value, fallback mgclock.Millis) mgclock.Millis {
	if value <= 0 {
		return fallback
	}
	return value
}

// wait is how long a new agent holds its first order back: until its
// predecessor has learnt of it, its lease has run out, and what it sent before
// has left.
func (s Spec) startupDelay() mgclock.Millis {
	if s.EngineChecks {
		return 0
	}
	return s.ListLag + s.LeaseTTL + s.MaxPause
}

// An Order is leave to send one order, for a short time.
type Order struct {
	number        uint64
	invalidations uint64
	expiresAt     mgclock.Millis
}

// Number returns the fencing number that goes with the order.
func (o Order) Number() uint64 { return o.number }

// A Guard gives leave for orders. The zero Guard is that of an engine that
// ignores numbers, and gives none before Renew. It is ready for use by several
// goroutines.
type Guard struct {
	spec Spec

	mu            sync.Mutex
	lastNumber    uint64         // the highest number given or seen
	leaseUntil    mgclock.Millis // orders may be sent before it
	hasLease      bool           // there is a lease
	invalidations uint64         // counts pauses; orders of an earlier one are dead
	lastObserved  mgclock.Millis // the last look at the clock
	hasObserved   bool           // there was one
}

// New returns the Guard of an agent's life.
func New(spec Spec) *Guard {
	return &Guard{
		spec: spec,
	}
}

// Renew tells that this agent was found to be the engine's own, by a question
// asked at asked.
func (g *Guard) Renew(asked, now mgclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeClock(now)
	until := asked + g.spec.withDefaults().LeaseTTL
	if until > now && (!g.hasLease || until > g.leaseUntil) {
		g.hasLease = true
		g.leaseUntil = until
	}
}

// Revoke tells that this agent isn't the engine's own, or that it is leaving.
func (g *Guard) Revoke() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.invalidate()
}

// ObserveClock looks at the clock. It is called every so often, so that a pause shows.
func (g *Guard) ObserveClock(now mgclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeClock(now)
}

// look drops the lease and all orders not yet sent if the process was paused:
// what it decided before, it decided on what was true before.
func (g *Guard) observeClock(now mgclock.Millis) {
	if g.hasObserved && now-g.lastObserved > g.spec.withDefaults().MaxPause {
		g.invalidate()
	}
	g.hasObserved = true
	g.lastObserved = max(g.lastObserved, now)
}

func (g *Guard) invalidate() {
	g.hasLease = false
	g.invalidations++
}

// Plan returns leave to send one order decided on a configuration's version.
func (g *Guard) Plan(version uint64, now mgclock.Millis) (Order, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeClock(now)
	spec := g.spec.withDefaults()
	if delay := spec.StartedAt + spec.startupDelay() - now; delay > 0 {
		return Order{}, earlyProblem(delay)
	}
	if !g.hasLease || now >= g.leaseUntil {
		return Order{}, noLeaseProblem()
	}
	g.lastNumber = max(g.lastNumber+1, g.firstNumber(version))
	return Order{
		number:        g.lastNumber,
		invalidations: g.invalidations,
		expiresAt:     min(g.leaseUntil, now+spec.MaxHold),
	}, nil
}

// base returns the first number of this life for a version.
//
// A successor outranks its predecessor by the later start; both outrank those
// with older versions. One order a millisecond would be needed for the numbers
// given out to catch up with a later start.
func (g *Guard) firstNumber(version uint64) uint64 {
	started := uint64(max(g.spec.StartedUnix-epoch, 0))
	return version<<startBits | started&(1<<startBits-1)
}

// CheckSend is the last check, made just before the order leaves. An agent that was
// paused since Plan learns it here, from the clock.
func (g *Guard) CheckSend(o Order, now mgclock.Millis) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeClock(now)
	if o.invalidations != g.invalidations || now >= o.expiresAt || o.number == 0 {
		return noLeaseProblem()
	}
	return nil
}

// ObserveRefusal tells that the engine refused an order since it has seen number.
// Another agent may be the engine's own by now, so that the lease is dropped;
// if it isn't so, the next number is higher than that one.
func (g *Guard) ObserveRefusal(number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastNumber = max(g.lastNumber, number)
	g.invalidate()
}

func earlyProblem(wait mgclock.Millis) error {
	return mgproblem.New(mgproblem.Unready, mgproblem.NotRun,
		"an order of the agent before may still arrive",
		"wait; the engine ignores fencing numbers").WithRetry(wait)
}

func noLeaseProblem() error {
	return mgproblem.New(mgproblem.Incarnation, mgproblem.NotRun,
		"no lease on the engine's orders",
		"look at the list again and decide anew")
}
