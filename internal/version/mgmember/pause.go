package mgmember

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// checkInterval is the interval of the detector's own checks.
	checkInterval = 50 * mgclock.Millis(1)
	// pauseThreshold is the time between two checks from which the process counts as
	// paused. It is four intervals more than the delays of a loaded scheduler, and far
	// below the leases (seconds) that a pause outlasts.
	pauseThreshold = 250 * mgclock.Millis(1)
)

// A PauseDetector detects that the process didn't run for a while. A stopped process resumes in
// the middle of an instruction with state that is out of date: an expired lease, an old
// offer, an order that is no longer the newest. Check compares clocks before such state
// is used, and the callbacks drop it. The zero PauseDetector reads the system's clocks.
type PauseDetector struct {
	clock mgclock.Clock
	wall  func() mgclock.Millis

	mu        sync.Mutex
	callbacks []func(gap mgclock.Millis)

	// lastMonotonic and lastWall are the last readings of the clocks plus one, 0 for
	// none.
	lastMonotonic atomic.Int64
	lastWall      atomic.Int64
	count         atomic.Int64
}

// NewPauseDetector returns a detector on a clock. wall returns the time of day; nil stands for
// the system's. Both clocks are needed: the monotonic clock stops while a VM is
// suspended, and the time of day is corrected right after it. A step of the time of day
// counts as a pause, which costs a few leases.
func NewPauseDetector(clock mgclock.Clock, wall func() mgclock.Millis) *PauseDetector {
	return &PauseDetector{
		clock: clock,
		wall:  wall,
	}
}

// OnPause adds a callback that drops state invalidated by a pause. It runs before Check
// returns, on the goroutine that detects the pause.
func (p *PauseDetector) OnPause(f func(gap mgclock.Millis)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callbacks = append(p.callbacks, f)
}

// Count returns the number of detected pauses.
func (p *PauseDetector) Count() int { return int(p.count.Load()) }

// Check reads the clocks, and runs the callbacks if the last check was too long ago. It
// returns the length of the pause, or 0. Between pauses it takes no lock. The readings
// are stored after the callbacks ran, so that no goroutine sees the pause as over
// before invalid state is dropped.
func (p *PauseDetector) Check() mgclock.Millis {
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

// gap returns the time since the last check, on the clock that shows the longer one.
func (p *PauseDetector) gap() mgclock.Millis {
	return max(since(&p.lastMonotonic, p.clock.Now()), since(&p.lastWall, p.wallNow()))
}

// since returns the time from a stored reading to now. A reading that went backwards,
// as the time of day may, counts as 0.
func since(last *atomic.Int64, now mgclock.Millis) mgclock.Millis {
	previous := last.Load()
	if previous == 0 {
		return 0
	}
	return max(0, now+1-mgclock.Millis(previous))
}

// recordClocks stores the readings of both clocks.
func (p *PauseDetector) recordClocks() {
	p.lastMonotonic.Store(int64(p.clock.Now()) + 1)
	p.lastWall.Store(int64(p.wallNow()) + 1)
}

func (p *PauseDetector) wallNow() mgclock.Millis {
	if p.wall != nil {
		return p.wall()
	}
	return mgclock.Millis(time.Now().UnixMilli())
}

// Run checks the clocks periodically until ctx ends. Without it Check would treat the
// time between two requests as a pause.
func (p *PauseDetector) Run(ctx context.Context) {
	p.Step()
	for p.clock.Sleep(ctx, checkInterval) {
		p.Step()
	}
}

// Step performs one check of Run, for loops that have their own wait.
func (p *PauseDetector) Step() {
	p.Check()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordClocks()
}
