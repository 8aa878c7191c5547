package mgmember

import (
	"strconv"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Departure is an upstream's own word that it leaves. It holds for one life of the
// upstream: a list that is older, or lacks the word, doesn't bring it back.
type Departure struct {
	Upstream  string
	StartedAt int64 // start of that life by the list, 0 where it tells none
}

// String returns the departure as processes tell it.
func (d Departure) String() string { return d.Upstream + " " + strconv.FormatInt(d.StartedAt, 10) }

// ParseDeparture reads what String returns. A process of an earlier release tells the name
// alone, which is taken for the present life.
func (m *Members) ParseDeparture(text string) Departure {
	name, startedAt, _ := strings.Cut(text, " ")
	n, err := strconv.ParseInt(startedAt, 10, 64)
	if err != nil {
		return m.CurrentDeparture(name)
	}
	return Departure{
		Upstream:  name,
		StartedAt: n,
	}
}

// departed is a departure and when it was learned.
type departureRecord struct {
	startedAt  int64
	recordedAt mgclock.Millis
	expiresAt  mgclock.Millis // 0 where it doesn't end by itself
}

// holds reports whether a departure hasn't ended by itself.
func (d departureRecord) isActive(now mgclock.Millis) bool {
	return d.expiresAt == 0 || now < d.expiresAt
}

// CurrentDeparture returns the departure of an upstream's present life, as the list shows it.
func (m *Members) CurrentDeparture(upstream string) Departure {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Departure{
		Upstream:  upstream,
		StartedAt: m.known[upstream].Born,
	}
}

// RecordDeparture takes an upstream's word that it leaves, and reports whether that is news: it
// was not known, and the list shows the upstream as staying.
func (m *Members) RecordDeparture(now mgclock.Millis, d Departure) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	vm, listed := m.known[d.Upstream]
	if listed && vm.Born > d.StartedAt {
		return false // it has started again since
	}
	before, known := m.departures[d.Upstream]
	if known && before.startedAt >= d.StartedAt && before.expiresAt == 0 {
		return false
	}
	if m.departures == nil {
		m.departures = map[string]departureRecord{}
	}
	m.departures[d.Upstream] = departureRecord{
		startedAt:  d.StartedAt,
		recordedAt: now,
	}
	m.rebuild(now)
	return !listed || vm.State != mgplatform.Leaving
}

// leaves reports whether an upstream has said in its present life that it leaves.
func (m *Members) hasDeparted(name string, startedAt int64) bool {
	d, known := m.departures[name]
	return known && startedAt <= d.startedAt
}

// endDepartures drops the words that nothing depends on any more, and reports whether
// there were any: those of upstreams that have long been gone, or whose lives the list
// doesn't tell apart.
func (m *Members) expireDepartures(now mgclock.Millis) bool {
	changed := false
	for name, d := range m.departures {
		vm, known := m.known[name]
		switch {
		case known && vm.Born > d.startedAt:
		case d.expiresAt > 0:
			if d.isActive(now) {
				continue
			}
		case now < d.recordedAt+leavingTTL || known && vm.Born > 0 && m.isListed(name):
			continue
		}
		delete(m.departures, name)
		changed = true
	}
	return changed
}

// isListed reports whether the list names a VM.
func (m *Members) isListed(name string) bool {
	member, ok := m.View().Member(name)
	return ok && member.listed
}
