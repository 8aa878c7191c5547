package mgquarantine

import (
	"math"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// cautiousThreshold and cautiousLateThreshold are the numbers of occurrences after which a
	// cautious process holds a request that was just starting, and one that had run for longer: all
	// that runs on an upstream is the latter.
	cautiousThreshold     = 1
	cautiousLateThreshold = 2
	// cautiousHold is the first hold after one crash. It is short, since the trial after it frees a
	// request that many callers send.
	cautiousHold = 2 * mgclock.Second
	// cautiousRetryLimit is retryOccurrenceLimit of a cautious process.
	cautiousRetryLimit = 1
)

// Begin sets the start of the process. From then on it learns of the crashes that others record, and of
// earlier ones what a peer knows; see AdoptMemory. Until its records reach back for the time caution it
// holds requests after fewer crashes: where all processes were lost at once, none knows what has
// crashed upstreams before.
func (q *Quarantine) Begin(now, caution mgclock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rememberedSince = now
	q.caution = caution
}

// Memory returns how far back the records that this process knows of reach, at least 0.
func (q *Quarantine) Memory(now mgclock.Millis) mgclock.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(now-q.rememberedSince, 0)
}

// AdoptMemory sets how far back the records of a peer with these checksums reach. If this process has
// them all, its own reach as far.
func (q *Quarantine) AdoptMemory(now, memory mgclock.Millis, theirs Checksums) {
	own := q.Checksums()
	for bucket := range checksumBuckets {
		if theirs.at(bucket) != 0 && theirs.at(bucket) != own.at(bucket) {
			return
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if now-memory >= q.rememberedSince {
		return
	}
	q.rememberedSince = now - memory
	if q.state.Load() != nil {
		q.updateState(now)
	}
}

// cautiousUntil returns the time before which this process judges crashes by lower thresholds, since
// upstreams may have crashed before under requests of which no process knows.
func (q *Quarantine) cautiousUntil() mgclock.Millis {
	if q.caution == 0 {
		return math.MinInt64
	}
	return q.rememberedSince + q.caution
}

// thresholdFor returns the number of occurrences after which a request or part is held. Parts have no
// lower one, since many sound requests have them, nor does what was at one of many crashes of a moment.
func (v evaluation) thresholdFor(e *explanation) int {
	first := e.suspected[0].at
	switch {
	case first >= v.cautiousUntil || e.breadth > 0 || e.answered || slices.ContainsFunc(e.suspected, func(c *crash) bool { return c.isOneOfMany }):
		return occurrenceThreshold
	case e.waiting == 0 && slices.ContainsFunc(e.suspected, func(c *crash) bool { return e.ran[c] < StartWindow }):
		return cautiousThreshold
	default:
		return cautiousLateThreshold
	}
}
