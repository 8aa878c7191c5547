package mgstandin

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// Set sets the fault: Die, Cut, Stall, Silent, Slow, Leave or Heal. An engine healed
// after Die has lost its generations, its fencing number and the effects of the orders
// it carried out.
func (e *Engine) Set(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	e.fault = f
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

// stepSpeed returns the speed of the steps under the current fault.
func (e *Engine) stepSpeed() float64 {
	speed := e.spec.Model.Speed
	if speed <= 0 {
		speed = 1
	}
	if e.fault.Kind == Slow && e.fault.Factor > 0 {
		speed /= e.fault.Factor
	}
	return speed
}

// remainingNotice returns how long a leaving engine will still run, or 0 if it doesn't
// leave or the time is not known.
func (e *Engine) remainingNotice() mgclock.Millis {
	if e.fault.Kind != Leave || e.fault.Delay <= 0 {
		return 0
	}
	return max(e.leaveDeadline-e.clock.Now(), 1)
}

// loseState drops all state except the counters.
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
