package mgbackup

import (
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// maxFreeShare is the part of a service's free memory that the backups of all
	// processes use together, on average, if all its memory is free. Where less is free,
	// the part shrinks in proportion: with 700,000 of 900,000 tokens free, as on 33
	// engines under the load that they bear, there may be 31 backups of 3,500 tokens,
	// and with 150,000, as under twice that load, one or two. Backups that were named
	// before a wave of departures are held for some seconds after it, when the memory of
	// the engines that stay is needed.
	maxFreeShare = 0.2
	// minFreePart is the part of a service's memory that must be free for any backup. Below it, requests
	// soon wait for memory, and copies delay the moves of other generations on the engines' links.
	minFreePart = 0.4
	// creditWindow is the time for which a process can save up its share: about that
	// of an average long generation (700 tokens of output) with its wait.
	creditWindow = 10 * mgclock.Second
)

// A Budget limits the memory that one process uses for backups. A process may use its
// even part of a share of the service's free memory (Supply). It earns that part as credit
// over time, in tokens times ms, and a backup costs its memory times its duration. So
// processes whose part is smaller than one backup still have one now and then, without
// exchanging messages. The zero Budget is ready for use by several goroutines.
type Budget struct {
	mu       sync.Mutex
	services map[string]*account
}

// account is the credit of one service.
type account struct {
	credit  float64 // tokens x ms
	at      mgclock.Millis
	maxCost float64 // of a backup so far, tokens x ms
	held    int     // tokens of memory that are counted for backups
}

// A Supply is the memory that backups may use a part of.
type Supply struct {
	Free      int // tokens of the service's memory that nothing is counted for
	Capacity  int // tokens of the service's memory
	Processes int // that share it
}

// total returns the memory of the backups of all processes, in tokens.
func (s Supply) total() float64 {
	free := float64(max(s.Free, 0))
	part := min(free/float64(max(s.Capacity, 1)), 1)
	if part < minFreePart {
		return 0
	}
	return maxFreeShare * free * part
}

// share returns the process's own part, in tokens.
func (s Supply) share() float64 { return s.total() / float64(max(s.Processes, 1)) }

// A Grant is the memory of one backup.
type Grant struct {
	Service  string
	Memory   int            // tokens
	At       mgclock.Millis // when it was taken
	Duration mgclock.Millis // for which it is expected to be held
}

// cost returns what the grant costs if it is held for a duration, in tokens x ms.
func (g Grant) cost(duration mgclock.Millis) float64 { return float64(g.Memory) * float64(duration) }

// Take reports whether the budget allows a grant, and if so takes its memory. Release
// returns it.
func (b *Budget) Take(g Grant, supply Supply) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	cost := g.cost(g.Duration)
	share := supply.share()
	if b.services == nil {
		b.services = map[string]*account{}
	}
	a := b.services[g.Service]
	if a == nil {
		a = &account{
			credit: share * float64(creditWindow),
			at:     g.At,
		}
		b.services[g.Service] = a
	}
	a.maxCost = max(a.maxCost, cost)
	earned := share * float64(min(g.At-a.at, creditWindow))
	a.credit = min(a.credit+earned, max(share*float64(creditWindow), a.maxCost))
	a.at = g.At
	if a.credit < cost || a.held > 0 && float64(a.held+g.Memory) > share {
		return false
	}
	a.credit -= cost
	a.held += g.Memory
	return true
}

// Release returns the memory of a grant, and corrects the credit by the time for which it
// was held.
func (b *Budget) Release(now mgclock.Millis, g Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.services[g.Service]; a != nil {
		a.held -= g.Memory
		a.credit += g.cost(g.Duration) - g.cost(now-g.At)
	}
}

// Held returns the memory of this process's backups, in tokens.
func (b *Budget) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := 0
	for _, a := range b.services {
		held += a.held
	}
	return held
}
