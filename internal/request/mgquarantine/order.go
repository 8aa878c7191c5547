package mgquarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// maxAfter limits how many records of other processes one record references as earlier.
	maxAfter = 8
	// maxRestatements limits how many follow-up records a process adds for one attempt, and
	// maxRestatedAttempts for how many attempts of one request, the latest ones.
	maxRestatements     = 4
	maxRestatedAttempts = 8
	// maxOffsetDrift is how far the offset of an origin's clock may differ between two of
	// its records. A clock that stood still in between makes it differ by more.
	maxOffsetDrift = 500 * mgclock.Millis(1)
)

// SetPauseCheck sets the function that is called before each crash is recorded. It detects a pause
// of the process and then calls RecordPause. Call SetPauseCheck before the quarantine is used.
func (q *Quarantine) SetPauseCheck(checkPause func()) { q.checkPause = checkPause }

// RecordPause records that the process, or its clock, stood still until now. Attempts that were
// in progress say nothing about the order of crashes: their ends may have been seen late,
// and other processes' records can't be placed in the time before.
func (q *Quarantine) RecordPause(now mgclock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastPause = now
}

// pausedSince reports whether the process paused at or after a time.
func (q *Quarantine) pausedSince(at mgclock.Millis) bool { return q.lastPause > 0 && at <= q.lastPause }

// boundSeenTime returns an upper bound, by this process's clock, of when a record was seen:
// the record's age doesn't include its network delay. Records of one origin keep their
// order and distances, whichever paths they took, since all use the smallest clock offset
// that any of them shows.
func (q *Quarantine) boundSeenTime(now mgclock.Millis, record Record) mgclock.Millis {
	newOffset := now - record.Age - record.Seen
	offset, known := q.offsets[record.Origin]
	if drift := newOffset - offset; known && drift >= 0 && drift <= maxOffsetDrift {
		return record.Seen + offset
	}
	if q.offsets == nil || len(q.offsets) >= maxRecords {
		q.offsets = map[string]mgclock.Millis{}
	}
	q.offsets[record.Origin] = newOffset
	if known && newOffset < offset && offset-newOffset <= maxOffsetDrift {
		for id, s := range q.records {
			if id.origin == record.Origin && s.seenBound == s.record.Seen+offset {
				s.seenBound = s.record.Seen + newOffset
				q.records[id] = s
			}
		}
	}
	return record.Seen + newOffset
}

// provenEarlier returns the records of other processes that an own record proves to be of
// earlier occurrences, latest first, without those already known to be.
func (q *Quarantine) provenEarlier(own storedRecord, known []Reference) []Reference {
	if !own.isCrash() || q.pausedSince(own.record.Sent) {
		return nil
	}
	var proven []storedRecord
	for _, s := range q.records {
		if s.digest != own.digest || !s.isCrash() || s.record.Of != 0 || s.record.Origin == q.origin {
			continue
		}
		if own.provesLaterThan(s) && !slices.Contains(known, s.reference()) {
			proven = append(proven, s)
		}
	}
	sortByTime(proven)
	slices.Reverse(proven)
	var references []Reference
	for _, s := range proven[:min(len(proven), maxAfter)] {
		references = append(references, s.reference())
	}
	return references
}

// restateOwn adds follow-up records for what this process's own records of a request prove
// now, and reports whether it added any.
func (q *Quarantine) restateOwn(now mgclock.Millis, digest Digest) bool {
	own := map[uint64][]storedRecord{} // by the first record's number
	for _, s := range q.records {
		if s.digest == digest && s.isCrash() && s.record.Origin == q.origin {
			own[s.firstID().number] = append(own[s.firstID().number], s)
		}
	}
	numbers := slices.Sorted(maps.Keys(own))
	hasNew := false
	for _, number := range numbers[max(len(numbers)-maxRestatedAttempts, 0):] {
		records := own[number]
		if len(records) > maxRestatements {
			continue
		}
		first := slices.MinFunc(records, func(a, b storedRecord) int { return cmp.Compare(a.record.Number, b.record.Number) })
		var known []Reference
		for _, s := range records {
			known = append(known, s.record.After...)
		}
		references := q.provenEarlier(first, known)
		if len(references) == 0 {
			continue
		}
		first.record.Of = first.firstID().number
		first.record.After = references
		first.learnedAt = now
		q.putOwn(first)
		hasNew = true
	}
	return hasNew
}
