package mgwarm

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// placedFraction is the part of the rate that one process gives in places: two that
	// take themselves for the one that gives them, as after a partition, give the rate
	// together.
	placedFraction = 0.5
	// turnFraction is the part that all turns together come to.
	turnFraction = 0.25
	// minProcesses is the least number of processes that turns are made for. One that has
	// just started, or is cut off, knows few of the others.
	minProcesses = 360
	// turnDuration is how long a turn lasts.
	turnDuration = mgclock.Second
)

// Placed returns how many requests one process may give places for at a cold upstream
// in a second, where so many processes give places there.
func Placed(rate float64, givers int) int {
	return max(int(rate*placedFraction)/max(givers, 1), 1)
}

// Turns are one process's turns at cold upstreams. The zero Turns has used none and is
// ready for use by several goroutines.
type Turns struct {
	mu   sync.Mutex
	used map[string]int64 // number of the turn, by upstream
}

// Take reports whether a process may send one request to a cold upstream now, and uses
// the turn up. Processes is how many it knows of.
func (t *Turns) Take(now mgclock.Millis, self, upstream string, rate float64, processes int) bool {
	if rate <= 0 {
		return false
	}
	interval := max(mgclock.Millis(float64(max(processes, minProcesses))*float64(mgclock.Second)/(rate*turnFraction)), 1)
	phase := mgclock.Millis(xxhash.Sum64String(self+"\x00"+upstream) % uint64(interval))
	turn := int64((now + phase) / interval)
	if (now+phase)%interval >= turnDuration {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if last, found := t.used[upstream]; found && last == turn {
		return false
	}
	if t.used == nil {
		t.used = map[string]int64{}
	}
	t.used[upstream] = turn
	return true
}
