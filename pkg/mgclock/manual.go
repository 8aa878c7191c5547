package mgclock

import (
	"sort"
	"sync"
)

// A Manual clock advances only by calls of Advance. The zero Manual starts at 0.
// It is safe for concurrent use.
type Manual struct {
	mu     sync.Mutex
	now    Millis
	timers []manualTimer
}

type manualTimer struct {
	deadline Millis
	done     chan struct{}
}

// Clock returns the clock that m drives.
func (m *Manual) Clock() Clock {
	return Clock{
		now:   m.Now,
		after: m.after,
	}
}

// Now returns the current time of m.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance advances the time by step, which is 0 or more, and fires the expired
// timers in the order of their deadlines.
func (m *Manual) Advance(step Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += step
	sort.SliceStable(m.timers, func(i, j int) bool { return m.timers[i].deadline < m.timers[j].deadline })
	dueCount := 0
	for dueCount < len(m.timers) && m.timers[dueCount].deadline <= m.now {
		close(m.timers[dueCount].done)
		dueCount++
	}
	m.timers = m.timers[dueCount:]
}

// PendingTimers returns the number of timers that have not fired, so that a test can
// detect when all goroutines wait.
func (m *Manual) PendingTimers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.timers)
}

func (m *Manual) after(delay Millis) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	done := make(chan struct{})
	if delay <= 0 {
		close(done)
		return done
	}
	m.timers = append(m.timers, manualTimer{
		deadline: m.now + delay,
		done:     done,
	})
	return done
}
