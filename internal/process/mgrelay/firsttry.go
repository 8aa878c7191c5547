package mgrelay

import (
	"slices"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// deadlineSamples is how many recent deadlines of a route's callers are kept.
	deadlineSamples = 64
	// minDeadlineSamples is how many of them are needed to tell callers apart.
	minDeadlineSamples = 16
	// lowerHalfWeight is the length of the range of new callers' deadlines in multiples of its upper
	// half, with an allowance for the error of a median of 64 values.
	lowerHalfWeight = 2.4
	// maxTrackedRoutes bounds the routes whose deadlines are kept. Routes come and go with the table.
	maxTrackedRoutes = 256
)

// firstTries tells callers that come back from new ones: a caller states how long it still waits,
// which is less at each try. Deadlines of new callers differ as well, so only a deadline below their
// range counts as that of a caller that has come back. No caller is remembered, so any entry can tell.
// The zero value is ready for use by several goroutines.
type firstTries struct {
	mu      sync.Mutex
	byRoute map[string]*recentDeadlines
}

// recentDeadlines is a ring of the deadlines that callers of a route stated last.
type recentDeadlines struct {
	values []mgclock.Millis
	next   int
}

func (d *recentDeadlines) add(deadline mgclock.Millis) {
	if len(d.values) < deadlineSamples {
		d.values = append(d.values, deadline)
		return
	}
	d.values[d.next] = deadline
	d.next = (d.next + 1) % deadlineSamples
}

// newCallers returns the range of new callers' deadlines. Most callers are new ones, so that half of
// their range lies above the median.
func (d *recentDeadlines) newCallers() (shortest, longest mgclock.Millis) {
	sorted := slices.Sorted(slices.Values(d.values))
	longest = sorted[len(sorted)-1]
	median := sorted[len(sorted)/2]
	return longest - mgclock.Millis(lowerHalfWeight*float64(longest-median)), longest
}

// Waited returns for about how long a caller with this deadline has waited in earlier tries, 0 if it
// may be a new one.
func (f *firstTries) Waited(route string, deadline mgclock.Millis) mgclock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byRoute == nil {
		f.byRoute = map[string]*recentDeadlines{}
	}
	recent := f.byRoute[route]
	if recent == nil {
		if len(f.byRoute) >= maxTrackedRoutes {
			clear(f.byRoute)
		}
		recent = &recentDeadlines{}
		f.byRoute[route] = recent
	}
	recent.add(deadline)
	if len(recent.values) < minDeadlineSamples {
		return 0
	}
	shortest, longest := recent.newCallers()
	if deadline >= shortest {
		return 0
	}
	return (shortest+longest)/2 - deadline
}
