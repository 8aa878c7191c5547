package mgfence

import (
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// The defaults of a Spec.
const (
	// DefaultLeaseTTL is short compared with the seconds in which a change must
	// be in force, and long compared with the interval at which the list is
	// read.
	DefaultLeaseTTL = 5 * mgclock.Second
	// DefaultListLag is how far the list of VMs may lag behind the platform.
	DefaultListLag = 5 * mgclock.Second
	// DefaultMaxPause is the longest pause that may go undetected between the
	// last check of the time and the sending.
	DefaultMaxPause = 2 * mgclock.Second
	// DefaultMaxHold is how long an order may wait between Plan and Send.
	DefaultMaxHold = mgclock.Second
)

const (
	// startBits is the number of bits for the process's start in ms since epoch:
	// 69 years.
	startBits = 41
	// epoch is 2026-01-01 in Unix ms.
	epoch = 1767225600000
)

// A Spec configures a Guard for one incarnation of an agent. Durations of 0 take
// the defaults.
type Spec struct {
	// StartedUnix is the process's start in Unix ms.
	StartedUnix int64
	// StartedAt is the same moment by the clock that the Guard's methods use.
	StartedAt mgclock.Millis
	// EngineChecks is true if the engine refuses old fencing numbers.
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

// startupDelay is how long a new agent must wait before its first order: until
// its predecessor has learned that it was replaced, its lease has expired, and
// the orders that it sent before have arrived.
func (s Spec) startupDelay() mgclock.Millis {
	if s.EngineChecks {
		return 0
	}
	return s.ListLag + s.LeaseTTL + s.MaxPause
}

// An Order is the permission to send one order within a short time.
type Order struct {
	number        uint64
	invalidations uint64
	expiresAt     mgclock.Millis
}

// Number returns the fencing number that goes with the order.
func (o Order) Number() uint64 { return o.number }

// A Guard decides whether orders may be sent. The zero Guard is that of an
// engine that ignores fencing numbers, and permits no order before Renew. It is
// safe for concurrent use.
type Guard struct {
	spec Spec

	mu            sync.Mutex
	lastNumber    uint64         // the highest number issued or seen
	leaseUntil    mgclock.Millis // orders may be sent until this time
	hasLease      bool           // leaseUntil is valid
	invalidations uint64         // counts calls of invalidate; orders planned before the last one are invalid
	lastObserved  mgclock.Millis // the last time passed to observeClock
	hasObserved   bool           // lastObserved is valid
}

// New returns the Guard of one incarnation of an agent.
func New(spec Spec) *Guard {
	return &Guard{
		spec: spec,
	}
}

// Renew renews the lease: a query made at asked confirmed that this agent is the
// engine's current agent.
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

// Revoke drops the lease because this agent isn't the engine's current agent, or
// is leaving.
func (g *Guard) Revoke() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.invalidate()
}

// ObserveClock detects pauses of the process by the time since the last call. It
// must be called regularly.
func (g *Guard) ObserveClock(now mgclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeClock(now)
}

// observeClock drops the lease and all unsent orders if the process was paused,
// because they were decided on outdated state.
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

// Plan returns the permission to send one order that was decided on a version of
// the configuration.
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

// firstNumber returns this incarnation's first fencing number for a version.
//
// A successor's numbers are higher because it started later, and numbers of
// newer versions are higher than both agents' numbers for older ones. Issued
// numbers would catch up with a later start only at one order per millisecond.
func (g *Guard) firstNumber(version uint64) uint64 {
	started := uint64(max(g.spec.StartedUnix-epoch, 0))
	return version<<startBits | started&(1<<startBits-1)
}

// CheckSend is the last check, made just before the order is sent. It detects a
// pause of the process since Plan.
func (g *Guard) CheckSend(o Order, now mgclock.Millis) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeClock(now)
	if o.invalidations != g.invalidations || now >= o.expiresAt || o.number == 0 {
		return noLeaseProblem()
	}
	return nil
}

// ObserveRefusal records that the engine refused an order because it has seen
// the given number. The lease is dropped, since another agent may be the
// engine's current one; if it is not, the next number is higher than the one
// seen.
func (g *Guard) ObserveRefusal(number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastNumber = max(g.lastNumber, number)
	g.invalidate()
}

func earlyProblem(wait mgclock.Millis) error {
	return mgproblem.New(mgproblem.NotReady, mgproblem.NotRun,
		"an order of the agent before may still arrive",
		"wait; the engine ignores fencing numbers").WithRetryAfter(wait)
}

func noLeaseProblem() error {
	return mgproblem.New(mgproblem.Incarnation, mgproblem.NotRun,
		"no lease on the engine's orders",
		"look at the list again and decide anew")
}
