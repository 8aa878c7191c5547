package mgquarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// maxReferences limits how many records of other processes one record references as
	// earlier.
	maxReferences = 8
	// maxFollowUps limits how many follow-up records a process adds for one attempt, and
	// maxFollowUpAttempts for how many attempts of one request, the latest ones.
	maxFollowUps        = 4
	maxFollowUpAttempts = 8
	// maxOffsetDrift is how far the offset of an origin's clock may differ between two of
	// its records. A clock that stood still in between makes it differ by more.
	maxOffsetDrift = 500 * mgclock.Millis(1)
	// maxRoundingError is how much too low the offset of an origin's clock may be because
	// all times are rounded down to 1 ms: one for the record's age, one for the two clocks.
	maxRoundingError = 2 * mgclock.Millis(1)
)

// SetPauseCheck sets the function that is called before each crash is recorded. It detects
// a pause of the process and then calls RecordPause. Call SetPauseCheck before the
// quarantine is used.
func (q *Quarantine) SetPauseCheck(checkPause func()) { q.checkPause = checkPause }

// RecordPause records that the process, or its clock, stood still until now. Attempts that
// were in progress say nothing about the order of crashes: their ends may have been seen
// late, and the time of another process's record can't be compared with times before the
// pause.
func (q *Quarantine) RecordPause(now mgclock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastPause = now
}

// pausedSince reports whether the process paused at or after a time.
func (q *Quarantine) pausedSince(at mgclock.Millis) bool { return q.lastPause > 0 && at <= q.lastPause }

// boundSeenTime returns an upper bound, by this process's clock, of when a record's crash
// or answer was seen. It is only a bound because the record's age doesn't include its
// network delay. A smaller offset of the origin's clock is stored, and lowers the bounds of
// the origin's other records. Records of one origin keep their order and the time between
// them, whichever processes forwarded them, since all use the smallest clock offset that
// any of them gives. An offset that differs by more than maxOffsetDrift replaces the stored
// one and leaves the bounds of earlier records as they are.
func (q *Quarantine) boundSeenTime(now mgclock.Millis, record Record) mgclock.Millis {
	newOffset := now - record.Age - record.Seen + maxRoundingError
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
// earlier occurrences, latest first, without those in known, which the own records
// reference already.
func (q *Quarantine) provenEarlier(own storedRecord, known []Reference) []Reference {
	if !own.isCrash() || q.pausedSince(own.record.Sent) {
		return nil
	}
	var proven []storedRecord
	for _, s := range q.records {
		if !s.isCrash() || !s.sharesCause(own) || s.record.FirstNumber != 0 || s.record.Origin == q.origin {
			continue
		}
		if own.provesLaterThan(s) && !slices.Contains(known, s.reference()) {
			proven = append(proven, s)
		}
	}
	sortByTime(proven)
	slices.Reverse(proven)
	var references []Reference
	for _, s := range proven[:min(len(proven), maxReferences)] {
		references = append(references, s.reference())
	}
	return references
}

// addFollowUps adds follow-up records with the references that this process's own records
// prove now and that they don't have yet, after records of others were received. It reports
// whether it added any.
func (q *Quarantine) addFollowUps(now mgclock.Millis, received []storedRecord) bool {
	own := map[uint64][]storedRecord{} // by the first record's number
	for _, s := range q.records {
		if s.isCrash() && s.record.Origin == q.origin && slices.ContainsFunc(received, s.sharesCause) {
			own[s.firstID().number] = append(own[s.firstID().number], s)
		}
	}
	numbers := slices.Sorted(maps.Keys(own))
	slices.Reverse(numbers)
	attempts := map[Digest]int{}
	hasNew := false
	for _, number := range numbers {
		records := own[number]
		attempts[records[0].digest]++
		if len(records) > maxFollowUps || attempts[records[0].digest] > maxFollowUpAttempts {
			continue
		}
		first := slices.MinFunc(records, func(a, b storedRecord) int { return cmp.Compare(a.record.Number, b.record.Number) })
		var known []Reference
		for _, s := range records {
			known = append(known, s.record.Earlier...)
		}
		references := q.provenEarlier(first, known)
		if len(references) == 0 {
			continue
		}
		first.record.FirstNumber = first.firstID().number
		first.record.Earlier = references
		first.learnedAt = now
		q.putOwn(first)
		hasNew = true
	}
	return hasNew
}
