package mgmember

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// pauseStep is the interval of the detector's own looks at the clock.
	checkInterval = 50 * mgclock.Millis(1)
	// pauseLimit is how far two looks may lie apart before the process counts
	// as paused. It is four steps above a crowded scheduler's delays, and far
	// below the lives of leases (seconds) that a pause outlives.
	pauseThreshold = 250 * mgclock.Millis(1)
)

// A Pause notices that the process didn't run for a while. A process that was
// stopped goes on in the middle of an instruction with state that is out of
// date: an expired lease, an old offer, an order that is no longer the newest.
// Check compares clocks before such state is used, and the callbacks drop it. The zero Pause reads the system's clocks.
type Pause struct {
	clock mgclock.Clock
	wall  func() mgclock.Millis

	mu        sync.Mutex
	callbacks []func(gap mgclock.Millis)

	// seen and seenWall are the last looks at the clocks plus one, 0 for none.
	lastMonotonic atomic.Int64
	lastWall      atomic.Int64
	count         atomic.Int64
}

// NewPause returns a detector on a clock. Wall returns the time of day and may
// be nil for the system's: the monotonic clock stands still while a VM is
// suspended, the time of day is set right after it. A step of the time of day
// counts as a pause, which costs a few leases.
func NewPause(clock mgclock.Clock, wall func() mgclock.Millis) *Pause {
	return &Pause{
		clock: clock,
		wall:  wall,
	}
}

// On adds a callback that drops what a pause makes worthless. It runs before
// Check returns, on whichever goroutine finds the pause.
func (p *Pause) On(f func(gap mgclock.Millis)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callbacks = append(p.callbacks, f)
}

// Count returns the number of pauses noticed.
func (p *Pause) Count() int { return int(p.count.Load()) }

// Check looks at the clocks, and runs the callbacks when the last look lies too
// far back. It returns the length of the pause, or 0. Between pauses it takes no
// lock. The looks are stored after the callbacks ran, so that no goroutine finds
// the pause over before what it made worthless is dropped.
func (p *Pause) Check() mgclock.Millis {
	if p.gap() < pauseThreshold {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	gap := p.gap()
	if gap < pauseThreshold {
		return 0
	}
	p.count.Add(1)
	for _, f := range p.callbacks {
		f(gap)
	}
	p.recordClocks()
	return gap
}

// gap returns how far back the last look lies, on the clock that says more.
func (p *Pause) gap() mgclock.Millis {
	return max(since(&p.lastMonotonic, p.clock.Now()), since(&p.lastWall, p.wallNow()))
}

// since returns how far a reading lies after a stored one. A reading that went
// backwards, as the time of day may, counts as none.
func since(last *atomic.Int64, now mgclock.Millis) mgclock.Millis {
	previous := last.Load()
	if previous == 0 {
		return 0
	}
	return max(0, now+1-mgclock.Millis(previous))
}

// look stores the readings of both clocks.
func (p *Pause) recordClocks() {
	p.lastMonotonic.Store(int64(p.clock.Now()) + 1)
	p.lastWall.Store(int64(p.wallNow()) + 1)
}

func (p *Pause) wallNow() mgclock.Millis {
	if p.wall != nil {
		return p.wall()
	}
	return mgclock.Millis(time.Now().UnixMilli())
}

// Run looks at the clocks until ctx ends. Without it Check would take the time
// between two requests for a pause.
func (p *Pause) Run(ctx context.Context) {
	p.Step()
	for p.clock.Sleep(ctx, checkInterval) {
		p.Step()
	}
}

// Step is one look of Run, for loops that have a wait of their own.
func (p *Pause) Step() {
	p.Check()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordClocks()
}
