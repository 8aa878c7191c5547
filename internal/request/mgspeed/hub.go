package mgspeed

import (
	"maps"
	"slices"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// entryTTL is how long a hub uses the sums of an entry after their last report, which is longer
// than any interval between two reports. Samples of an entry that has ended are as true as
// before.
const entryTTL = 10 * mgclock.Second

// A Hub merges the sums of entries. The zero Hub is empty and ready for use by several
// goroutines.
type Hub struct {
	mu      sync.Mutex
	entries map[string]entrySums
}

type entrySums struct {
	sums []Sums
	at   mgclock.Millis
}

// Store stores the sums of an entry in place of its earlier ones.
func (h *Hub) Store(now mgclock.Millis, entry string, sums []Sums) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.entries == nil {
		h.entries = map[string]entrySums{}
	}
	h.entries[entry] = entrySums{
		sums: sums,
		at:   now,
	}
}

// Speeds computes the speeds of the engines from the sums of all entries.
func (h *Hub) Speeds(now mgclock.Millis) *Speeds {
	h.mu.Lock()
	var all []Sums
	// In the order of names, so that sums of the same samples are the same to the last digit.
	for _, entry := range slices.Sorted(maps.Keys(h.entries)) {
		reported := h.entries[entry]
		if now >= reported.at+entryTTL {
			delete(h.entries, entry)
			continue
		}
		for _, s := range reported.sums {
			all = append(all, s.decayed(now-reported.at))
		}
	}
	h.mu.Unlock()
	return Estimate(all)
}
