package mgquarantine

import (
	"maps"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// maxEndsOfRequest is the number of upstreams that one request may end at about one moment, by its two
// attempts. More end for another reason.
const maxEndsOfRequest = 2

// markMoments marks the crashes of which more than maxEndsOfRequest are of about one moment. They are
// sorted by time.
func markMoments(crashes []*crash) {
	for i, c := range crashes {
		last := i
		for last+1 < len(crashes) && crashes[last+1].at < c.at+occurrenceWindow {
			last++
		}
		if last-i+1 > maxEndsOfRequest {
			for _, other := range crashes[i : last+1] {
				other.isOneOfMany = true
			}
		}
	}
}

// maxEndsRecorded is the number of upstreams that end within occurrenceWindow, as this process sees
// it, of which all generations are recorded. One that ran at several is recorded at each.
const maxEndsRecorded = 1

// isOneOfMany reports whether a crash is one of many at one moment, under a generation that nothing
// else speaks against. Recording all that runs in an availability zone would exceed what processes may
// exchange.
func (q *Quarantine) isOneOfMany(now mgclock.Millis, c Crash) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.recentEnds, func(_ string, at mgclock.Millis) bool { return at+occurrenceWindow <= now })
	if q.recentEnds == nil {
		q.recentEnds = map[string]mgclock.Millis{}
	}
	_, isKnown := q.recentEnds[c.Upstream]
	if c.Ran >= StartWindow && !isKnown && len(q.recentEnds) >= maxEndsRecorded && !q.isSuspected(c.Digest, c.Parts) {
		return true
	}
	q.recentEnds[c.Upstream] = now
	return false
}

// isSuspected reports whether there is evidence against a request or one of its parts.
func (q *Quarantine) isSuspected(digest Digest, parts []Digest) bool {
	current := q.state.Load()
	return current != nil && slices.ContainsFunc(append([]Digest{digest}, parts...), func(d Digest) bool {
		return current.suspicions[d].occurrences > 0
	})
}
