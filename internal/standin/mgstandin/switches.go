package mgstandin

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// Set turns a switch: Die, Cut, Stall, Silent, Slow, Leave or Heal. An engine
// that died and is healed has lost its generations, its fencing number and
// the orders it carried out.
func (e *Engine) Set(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	e.faults = f
	e.leaveDeadline = e.clock.Now() + f.Delay
	e.model.SetSpeed(e.stepSpeed())
	if f.Kind == Die {
		e.loseState()
	}
	for _, g := range e.generations {
		g.faultApplied = false
	}
	e.notifyChange()
}

// speed returns how fast the steps are under the present fault.
func (e *Engine) stepSpeed() float64 {
	speed := e.spec.Model.Speed
	if speed <= 0 {
		speed = 1
	}
	if e.faults.Kind == Slow && e.faults.Factor > 0 {
		speed /= e.faults.Factor
	}
	return speed
}

// notice returns how long a leaving engine still has, 0 when it isn't told.
func (e *Engine) remainingNotice() mgclock.Millis {
	if e.faults.Kind != Leave || e.faults.Delay <= 0 {
		return 0
	}
	return max(e.leaveDeadline-e.clock.Now(), 1)
}

// die loses all state but the counters.
func (e *Engine) loseState() {
	for _, g := range e.generations {
		g.notifyProgress()
	}
	e.incarnation++
	e.model = nil
	e.finished = nil
	e.fence = 0
	e.laggedLoad = laggedLoad{}
	e.cache = cacheLog{}
	e.ensureInitialized()
}
