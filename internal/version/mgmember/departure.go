package mgmember

import (
	"strconv"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Departure is an upstream's own announcement that it is leaving. It holds for one
// incarnation of the upstream: a list that is older, or doesn't show the departure,
// doesn't undo it.
type Departure struct {
	Upstream  string
	StartedAt int64 // start of that incarnation according to the list, 0 where the list has none
}

// String returns the departure in the format that processes exchange.
func (d Departure) String() string { return d.Upstream + " " + strconv.FormatInt(d.StartedAt, 10) }

// ParseDeparture parses the format of String. A process of an earlier release sends the
// name alone, which stands for the current incarnation.
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

// departureRecord is a departure with the time when it was recorded.
type departureRecord struct {
	startedAt  int64
	recordedAt mgclock.Millis
	expiresAt  mgclock.Millis // 0 where it doesn't expire
}

// isActive reports whether a departure hasn't expired.
func (d departureRecord) isActive(now mgclock.Millis) bool {
	return d.expiresAt == 0 || now < d.expiresAt
}

// CurrentDeparture returns the departure of an upstream's current incarnation according
// to the list.
func (m *Members) CurrentDeparture(upstream string) Departure {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Departure{
		Upstream:  upstream,
		StartedAt: m.known[upstream].IncarnationStart,
	}
}

// RecordDeparture records that an upstream is leaving, and reports whether that is new:
// the departure was unknown, and the list doesn't show it.
func (m *Members) RecordDeparture(now mgclock.Millis, d Departure) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	vm, listed := m.known[d.Upstream]
	if listed && vm.IncarnationStart > d.StartedAt {
		return false // it has restarted since
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

// hasDeparted reports whether the given incarnation of an upstream has announced that
// it is leaving.
func (m *Members) hasDeparted(name string, startedAt int64) bool {
	d, known := m.departures[name]
	return known && startedAt <= d.startedAt
}

// expireDepartures drops the departures that no longer matter, and reports whether
// there were any: those of upstreams that have long been gone, have restarted, or whose
// incarnations the list doesn't distinguish.
func (m *Members) expireDepartures(now mgclock.Millis) bool {
	changed := false
	for name, d := range m.departures {
		vm, known := m.known[name]
		switch {
		case known && vm.IncarnationStart > d.startedAt:
		case d.expiresAt > 0:
			if d.isActive(now) {
				continue
			}
		case now < d.recordedAt+leavingTTL || known && vm.IncarnationStart > 0 && m.isListed(name):
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
