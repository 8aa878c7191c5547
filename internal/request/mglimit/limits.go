package mglimit

import (
	"maps"
	"math"
	"slices"
	"strings"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// broadcastWindow is how long a changed record is broadcast.
	broadcastWindow = 600 * mgclock.Millis(1)
	// maxRecordDelay is how much older another process's record may be than its age says.
	// It is subtracted from the time of a limit's end, which must not seem later than an
	// answer that named the limit.
	maxRecordDelay = 500 * mgclock.Millis(1)
	// unlistedTTL is how long the limit of an upstream that isn't on the list of upstreams
	// is kept after it was last named: longer than a list may lack an upstream that is
	// alive.
	unlistedTTL = 5 * mgclock.Minute
	// maxLimits bounds the number of upstreams whose limits are kept.
	maxLimits = 8192
)

// A Record is the record of what a process knows of an upstream's limit, as processes
// exchange it. Its ages are relative to the time at which it is sent, in ms, 0 or more.
type Record struct {
	Upstream         string         `json:"upstream"`
	IncarnationStart int64          `json:"born,omitempty"`  // start of the upstream's incarnation, from the list
	Rate             float64        `json:"rate"`            // requests a second
	Named            mgclock.Millis `json:"named"`           // age of the last answer that named the rate
	Ended            bool           `json:"ended,omitempty"` // an answer named no rate, before or after Named; see limit.isActive
	// Unnamed is the age of the last request whose answer named no rate, where Ended.
	Unnamed mgclock.Millis `json:"unnamed,omitempty"`
}

// isValid reports whether another process's record can be used.
func (r Record) isValid() bool {
	return r.Upstream != "" && r.Rate >= 0 && !math.IsNaN(r.Rate) && !math.IsInf(r.Rate, 0) && r.Named >= 0 && r.Unnamed >= 0
}

// Limits holds the limits that upstreams have named. The zero Limits is empty and ready for
// use by several goroutines.
type Limits struct {
	mu      sync.Mutex
	limits  map[string]*limit
	changed chan struct{}
}

type limit struct {
	incarnationStart int64
	rate             float64
	lastNamed        mgclock.Millis // time of the last answer that named the rate
	ended            bool           // an answer named no rate
	lastUnnamed      mgclock.Millis // when the last request was sent whose answer named no rate
	broadcastUntil   mgclock.Millis // end of the broadcast
}

// isActive reports whether the upstream is limited. Answers may arrive out of order: a
// limit has ended only if a request without a rate in its answer was sent after the last
// answer that named one.
func (l *limit) isActive() bool { return !l.ended || l.lastUnnamed <= l.lastNamed }

// RecordRate records that an answer of an incarnation of an upstream named a rate, and
// reports whether that changed the limit.
func (s *Limits) RecordRate(now mgclock.Millis, upstream string, incarnationStart int64, rate float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.update(now, upstream, incarnationStart, func(l *limit) { l.setNamed(now, rate) })
}

// RecordNoRate records that the answer to a request, sent at a time, named no rate, and
// reports whether that changed the limit.
func (s *Limits) RecordNoRate(now, sent mgclock.Millis, upstream string, incarnationStart int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.limits[upstream]
	switch {
	case known == nil || incarnationStart < known.incarnationStart:
		return false
	case incarnationStart > known.incarnationStart:
		delete(s.limits, upstream)
		return true
	}
	return s.update(now, upstream, incarnationStart, func(l *limit) { l.setEnded(sent) })
}

// Merge merges records of other processes. It returns those that changed a limit, and the
// number of unusable ones.
func (s *Limits) Merge(now mgclock.Millis, records []Record) (updates []Record, unusable int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if !r.isValid() {
			unusable++
			continue
		}
		if s.limits[r.Upstream] == nil && r.Named >= unlistedTTL {
			continue // the limit was dropped here, or would be dropped soon
		}
		isUpdate := s.update(now, r.Upstream, r.IncarnationStart, func(l *limit) {
			l.setNamed(now-r.Named, r.Rate)
			if r.Ended {
				l.setEnded(now - r.Unnamed - maxRecordDelay)
			}
		})
		if isUpdate {
			updates = append(updates, r)
		}
	}
	return updates, unusable
}

// update changes the limit of one incarnation of an upstream, and reports whether that
// changes the rate or whether there is a limit. It is called with mu held.
func (s *Limits) update(now mgclock.Millis, upstream string, incarnationStart int64, change func(l *limit)) bool {
	l := s.limits[upstream]
	switch {
	case l == nil && len(s.limits) >= maxLimits:
		return false
	case l != nil && incarnationStart < l.incarnationStart:
		return false
	}
	wasActive, rate := false, 0.0
	if l != nil {
		wasActive, rate = l.isActive(), l.rate
	}
	if l == nil || incarnationStart > l.incarnationStart {
		l = &limit{
			incarnationStart: incarnationStart,
			lastNamed:        math.MinInt64,
		}
	}
	change(l)
	if s.limits == nil {
		s.limits = map[string]*limit{}
	}
	s.limits[upstream] = l
	if l.isActive() == wasActive && (!wasActive || l.rate == rate) {
		return false
	}
	l.broadcastUntil = now + broadcastWindow
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return true
}

// setNamed records that the rate was named at a time.
func (l *limit) setNamed(at mgclock.Millis, rate float64) {
	if at >= l.lastNamed {
		l.lastNamed = at
		l.rate = rate
	}
}

// setEnded records that the answer to a request, sent at a time, named no rate.
func (l *limit) setEnded(sent mgclock.Millis) {
	if !l.ended || sent > l.lastUnnamed {
		l.ended = true
		l.lastUnnamed = sent
	}
}

// Rate returns the limit of an upstream whose incarnation began at incarnationStart, from
// the list of upstreams, or false where it has none. A limit of a later incarnation
// counts, since the list may be out of date.
func (s *Limits) Rate(upstream string, incarnationStart int64) (rate float64, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limits[upstream]
	if l == nil || incarnationStart > l.incarnationStart || !l.isActive() {
		return 0, false
	}
	return l.rate, true
}

// Record returns the record of an upstream, or false where there is none.
func (s *Limits) Record(now mgclock.Millis, upstream string) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limits[upstream]
	if l == nil {
		return Record{}, false
	}
	return l.record(now, upstream), true
}

// Records returns all records, sorted by upstream.
func (s *Limits) Records(now mgclock.Millis) []Record {
	return s.collect(now, func(*limit) bool { return true })
}

// RecentRecords returns the records to be broadcast.
func (s *Limits) RecentRecords(now mgclock.Millis) []Record {
	return s.collect(now, func(l *limit) bool { return now < l.broadcastUntil })
}

func (s *Limits) collect(now mgclock.Millis, wanted func(l *limit) bool) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []Record
	for upstream, l := range s.limits {
		if wanted(l) {
			records = append(records, l.record(now, upstream))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Upstream, b.Upstream) })
	return records
}

func (l *limit) record(now mgclock.Millis, upstream string) Record {
	w := Record{
		Upstream:         upstream,
		IncarnationStart: l.incarnationStart,
		Rate:             l.rate,
		Ended:            l.ended,
		// lastNamed may be ahead of now by the time for which the calling goroutine waited
		// for the lock.
		Named: max(now-l.lastNamed, 0),
	}
	if l.ended {
		w.Unnamed = max(now-l.lastUnnamed, 0)
	}
	return w
}

// Changed returns a channel that is closed at the next change of a limit.
func (s *Limits) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Prune drops the limits of upstreams that were last named long ago and aren't listed.
func (s *Limits) Prune(now mgclock.Millis, listed func(upstream string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.limits, func(upstream string, l *limit) bool { return now >= l.lastNamed+unlistedTTL && !listed(upstream) })
}
