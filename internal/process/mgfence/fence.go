package mgfence

import (
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// The defaults of a Spec.
const (
	// DefaultLease is short against the seconds in which a change must be in
	// force, and long against a look at the list.
	DefaultLease = 5 * mgclock.Second
	// DefaultLag is how far the list of VMs may lag behind the platform.
	DefaultLag = 5 * mgclock.Second
	// DefaultPause is the longest pause that may go unseen between the last look
	// at the clock and the sending.
	DefaultPause = 2 * mgclock.Second
	// DefaultHold is how long an order may wait between decision and sending.
	DefaultHold = mgclock.Second
)

const (
	// startBits hold the start of a process in ms from the epoch: 69 years.
	startBits = 41
	// epoch is 2026-01-01 in Unix ms.
	epoch = 1767225600000
)

// A Spec describes an agent's life. Spans left 0 take the defaults.
type Spec struct {
	// Started is the process's start in Unix ms.
	Started int64
	// Begun is the same moment by the clock of the other calls.
	Begun mgclock.Millis
	// Checks is set when the engine refuses old fencing numbers.
	Checks bool

	Lease mgclock.Millis
	Lag   mgclock.Millis
	Pause mgclock.Millis
	Hold  mgclock.Millis
}

func (s Spec) withDefaults() Spec {
	s.Lease = orDefault(s.Lease, DefaultLease)
	s.Lag = orDefault(s.Lag, DefaultLag)
	s.Pause = orDefault(s.Pause, DefaultPause)
	s.Hold = orDefault(s.Hold, DefaultHold)
	return s
}

func orDefault(span, otherwise mgclock.Millis) mgclock.Millis {
	if span <= 0 {
		return otherwise
	}
	return span
}

// wait is how long a new agent holds its first order back: until its
// predecessor has learnt of it, its lease has run out, and what it sent before
// has left.
func (s Spec) wait() mgclock.Millis {
	if s.Checks {
		return 0
	}
	return s.Lag + s.Lease + s.Pause
}

// An Order is leave to send one order, for a short time.
type Order struct {
	number uint64
	life   uint64
	until  mgclock.Millis
}

// Number returns the fencing number that goes with the order.
func (o Order) Number() uint64 { return o.number }

// A Guard gives leave for orders. The zero Guard is that of an engine that
// ignores numbers, and gives none before Renew. It is ready for use by several
// goroutines.
type Guard struct {
	spec Spec

	mu    sync.Mutex
	last  uint64         // the highest number given or seen
	lease mgclock.Millis // orders may be sent before it
	held  bool           // there is a lease
	life  uint64         // counts pauses; orders of an earlier one are dead
	saw   mgclock.Millis // the last look at the clock
	looks bool           // there was one
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
	g.look(now)
	until := asked + g.spec.withDefaults().Lease
	if until > now && (!g.held || until > g.lease) {
		g.held = true
		g.lease = until
	}
}

// Revoke tells that this agent isn't the engine's own, or that it is leaving.
func (g *Guard) Revoke() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause()
}

// Look looks at the clock. It is called every so often, so that a pause shows.
func (g *Guard) Look(now mgclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.look(now)
}

// look drops the lease and all orders not yet sent if the process was paused:
// what it decided before, it decided on what was true before.
func (g *Guard) look(now mgclock.Millis) {
	if g.looks && now-g.saw > g.spec.withDefaults().Pause {
		g.pause()
	}
	g.looks = true
	g.saw = max(g.saw, now)
}

func (g *Guard) pause() {
	g.held = false
	g.life++
}

// Plan returns leave to send one order decided on a configuration's version.
func (g *Guard) Plan(version uint64, now mgclock.Millis) (Order, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.look(now)
	spec := g.spec.withDefaults()
	if wait := spec.Begun + spec.wait() - now; wait > 0 {
		return Order{}, problemEarly(wait)
	}
	if !g.held || now >= g.lease {
		return Order{}, problemLease()
	}
	g.last = max(g.last+1, g.base(version))
	return Order{
		number: g.last,
		life:   g.life,
		until:  min(g.lease, now+spec.Hold),
	}, nil
}

// base returns the first number of this life for a version.
//
// A successor outranks its predecessor by the later start; both outrank those
// with older versions. One order a millisecond would be needed for the numbers
// given out to catch up with a later start.
func (g *Guard) base(version uint64) uint64 {
	started := uint64(max(g.spec.Started-epoch, 0))
	return version<<startBits | started&(1<<startBits-1)
}

// Send is the last check, made just before the order leaves. An agent that was
// paused since Plan learns it here, from the clock.
func (g *Guard) Send(o Order, now mgclock.Millis) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.look(now)
	if o.life != g.life || now >= o.until || o.number == 0 {
		return problemLease()
	}
	return nil
}

// Refused tells that the engine refused an order since it has seen number.
// Another agent may be the engine's own by now, so that the lease is dropped;
// if it isn't so, the next number is higher than that one.
func (g *Guard) Refused(number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last = max(g.last, number)
	g.pause()
}

func problemEarly(wait mgclock.Millis) error {
	return mgproblem.New(mgproblem.Unready, mgproblem.NotRun,
		"an order of the agent before may still arrive",
		"wait; the engine ignores fencing numbers").WithRetry(wait)
}

func problemLease() error {
	return mgproblem.New(mgproblem.Incarnation, mgproblem.NotRun,
		"no lease on the engine's orders",
		"look at the list again and decide anew")
}
