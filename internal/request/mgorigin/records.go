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
	// maxVersionLength limits a service's name and a version in a record, in bytes.
	maxVersionLength = 256
	// endedLife is how long the record of a complete stream is kept: the caller may not have
	// received its end.
	endedLife = 5 * mgclock.Second
	// sweepInterval is the interval at which expired records are dropped.
	sweepInterval = mgclock.Second
)

// Records holds the origins of streams. The zero value is empty. It is safe for concurrent
// use.
type Records struct {
	mu      sync.Mutex
	byKey   map[Key]storedRecord
	origins map[Origin]*Origin // one copy of each
	sweptAt mgclock.Millis
}

type storedRecord struct {
	origin    *Origin
	expiresAt mgclock.Millis
}

// Put stores a record in place of an earlier one. It returns false if the record is invalid or
// there are too many.
func (s *Records) Put(now mgclock.Millis, record Record) bool {
	if len(record.Service) > maxVersionLength || len(record.Version) > maxVersionLength || record.Left <= 0 {
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
		s.origins = map[Origin]*Origin{}
	}
	origin := record.Origin()
	if s.origins[origin] == nil {
		s.origins[origin] = &origin
	}
	s.byKey[record.Key] = storedRecord{
		origin:    s.origins[origin],
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
	return Record{
		Key:     key,
		Service: found.origin.Service,
		Version: found.origin.Version,
		Left:    found.expiresAt - now,
	}, true
}

// End shortens the life of the record of a stream that is complete.
func (s *Records) End(now mgclock.Millis, key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok := s.byKey[key]; ok {
		found.expiresAt = min(found.expiresAt, now+endedLife)
		s.byKey[key] = found
	}
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
	used := map[Origin]bool{}
	for key, record := range s.byKey {
		if now >= record.expiresAt {
			delete(s.byKey, key)
			continue
		}
		used[*record.origin] = true
	}
	for origin := range s.origins {
		if !used[origin] {
			delete(s.origins, origin)
		}
	}
}
