package mgclock

import (
	"sort"
	"sync"
)

// A Manual clock stands still until it is advanced. The zero Manual starts at
// 0 and is ready for use by several goroutines.
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

// Now returns the time that m was advanced to.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the time by span, which is 0 or more, and fires the timers
// that fall due in the order of their times.
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

// Waiting returns the number of timers that have not fired, so that a test
// knows when every goroutine has come to rest.
func (m *Manual) Waiting() int {
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
