package mgwarm

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// placedFraction is the fraction of the rate that one process grants in
	// placements: two processes that both assume this role, as after a partition,
	// grant the whole rate together.
	placedFraction = 0.5
	// turnFraction is the fraction of the rate that all turns amount to.
	turnFraction = 0.25
	// minProcesses is the minimum number of processes assumed for turns. A process
	// that has just started, or is partitioned, knows few of the others.
	minProcesses = 360
	// turnDuration is how long a turn lasts.
	turnDuration = mgclock.Second
)

// PlacementLimit returns how many placements per second one process may grant at a cold
// upstream, if grantingProcesses processes grant them there.
func PlacementLimit(rate float64, grantingProcesses int) int {
	return max(int(rate*placedFraction)/max(grantingProcesses, 1), 1)
}

// Turns holds one process's turns at cold upstreams. The zero Turns has used
// none and is ready for use by several goroutines.
type Turns struct {
	mu   sync.Mutex
	used map[string]int64 // number of the last used turn, by upstream
}

// Take reports whether a process may send one request to a cold upstream now,
// and if so uses its turn. Processes is how many processes it knows.
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
