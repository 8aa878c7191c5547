package mgorigin

import (
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// maxRecords limits the number of records that a process keeps, to some 10 MB.
	maxRecords = 100_000
	// maxRecordLife limits how long a record is kept.
	maxRecordLife = 60 * mgclock.Minute
	// maxNameLength limits each name and the version in a record, in bytes.
	maxNameLength = 256
	// sweepInterval is the interval at which expired records are dropped.
	sweepInterval = mgclock.Second
)

// Records holds the origins of streams. The zero value is empty. It is safe for concurrent
// use.
type Records struct {
	mu      sync.Mutex
	byKey   map[Key]storedRecord
	begins  map[Record]*Record // one copy of each, without key and time
	sweptAt mgclock.Millis
}

type storedRecord struct {
	begin     *Record // the record without key and time
	expiresAt mgclock.Millis
}

// Put stores a record in place of an earlier one. It returns false if the record is invalid or
// there are too many.
func (s *Records) Put(now mgclock.Millis, record Record) bool {
	if max(len(record.Service), len(record.Version), len(record.Upstream)) > maxNameLength || record.Left <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	if _, exists := s.byKey[record.Key]; !exists && len(s.byKey) >= maxRecords {
		return false
	}
	if s.byKey == nil {
		s.byKey = map[Key]storedRecord{}
		s.begins = map[Record]*Record{}
	}
	begin := record
	begin.Key, begin.Left = Key{}, 0
	if s.begins[begin] == nil {
		s.begins[begin] = &begin
	}
	s.byKey[record.Key] = storedRecord{
		begin:     s.begins[begin],
		expiresAt: now + min(record.Left, maxRecordLife),
	}
	return true
}

// Find returns the record of a stream, or false if there is none.
func (s *Records) Find(now mgclock.Millis, key Key) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.byKey[key]
	if !ok || now >= found.expiresAt {
		return Record{}, false
	}
	record := *found.begin
	record.Key, record.Left = key, found.expiresAt-now
	return record, true
}

// Len returns the number of records, including some that have just expired.
func (s *Records) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byKey)
}

// sweep drops expired records. mu must be held.
func (s *Records) sweep(now mgclock.Millis) {
	if now < s.sweptAt+sweepInterval {
		return
	}
	s.sweptAt = now
	used := map[Record]bool{}
	for key, record := range s.byKey {
		if now >= record.expiresAt {
			delete(s.byKey, key)
			continue
		}
		used[*record.begin] = true
	}
	for begin := range s.begins {
		if !used[begin] {
			delete(s.begins, begin)
		}
	}
}
