package mgquarantine

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Merge merges records of other processes. Records that can't be used are skipped, and
// returned with the reason.
func (q *Quarantine) Merge(now mgclock.Millis, records []Record) (invalid []*InvalidRecordError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	hasUpdates := false
	var received []storedRecord
	for _, record := range records {
		if err := record.validate(); err != nil {
			invalid = append(invalid, err)
			continue
		}
		if record.Age >= recordTTL || record.Origin == q.origin {
			continue
		}
		stored, isUpdate := q.mergeRecord(now, record)
		if stored.isCrash() {
			received = append(received, stored)
		}
		hasUpdates = hasUpdates || isUpdate
	}
	hasUpdates = q.addFollowUps(now, received) || hasUpdates
	if hasUpdates {
		q.reevaluate(now)
	}
	return invalid
}

// mergeRecord stores another process's record, or the better time bound that a further copy
// of it gives. It returns the stored record, and whether it is new or improved by enough to be
// broadcast.
func (q *Quarantine) mergeRecord(now mgclock.Millis, record Record) (s storedRecord, isUpdate bool) {
	seenBound := q.boundSeenTime(now, record)
	s, isKnown := q.records[record.id()]
	if isKnown && seenBound >= s.seenBound {
		return s, false
	}
	isUpdate = !isKnown || s.seenBound-seenBound >= minBoundImprovement
	if !isKnown {
		s = storedRecord{
			record: record,
		}
		s.digest, _ = ParseDigest(record.Digest) // valid, see Merge
		s.parts, _ = parseParts(record.Parts)
	}
	if isUpdate {
		s.learnedAt = now
	}
	s.seenBound = seenBound
	q.put(s)
	return s, isUpdate
}

// RecentRecords returns the records that this process learned recently and therefore
// broadcasts.
func (q *Quarantine) RecentRecords(now mgclock.Millis) []Record {
	return q.collect(now, func(s storedRecord) bool {
		window := broadcastWindow
		if s.isCrash() && s.isRunning() && q.Occurrences(s.digest) < minPartMoments {
			window = bystanderBroadcastWindow
		}
		return now < s.learnedAt+window
	})
}

// MissingRecords returns the records that a process with these Checksums may be missing.
func (q *Quarantine) MissingRecords(now mgclock.Millis, theirs Checksums) []Record {
	own := q.Checksums()
	return q.collect(now, func(s storedRecord) bool {
		bucket := s.id().bucket()
		return own.at(bucket) != theirs.at(bucket)
	})
}

func (q *Quarantine) collect(now mgclock.Millis, wanted func(storedRecord) bool) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	var records []Record
	for _, s := range q.records {
		if wanted(s) {
			records = append(records, s.withAge(now))
		}
	}
	return records
}

// OlderRecords returns those of the received records that are known here to be older, by
// at least minBoundImprovement, than the sender reports, so that the sender can improve
// its time bounds.
func (q *Quarantine) OlderRecords(now mgclock.Millis, received []Record) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	var older []Record
	for _, record := range received {
		s, isKnown := q.records[record.id()]
		if isKnown && now-s.seenBound >= record.Age+minBoundImprovement {
			older = append(older, s.withAge(now))
		}
	}
	return older
}

// Checksums returns the checksums of all records, or nil where there are none.
func (q *Quarantine) Checksums() Checksums {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) == 0 {
		return nil
	}
	checksums := make(Checksums, checksumBuckets)
	for id := range q.records {
		checksums[id.bucket()] += id.hash()
	}
	return checksums
}
