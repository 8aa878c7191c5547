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
	Upstream string
	Born     int64 // start of that life by the list, 0 where it tells none
}

// String returns the departure as processes tell it.
func (d Departure) String() string { return d.Upstream + " " + strconv.FormatInt(d.Born, 10) }

// ReadDeparture reads what String returns. A process of an earlier release tells the name
// alone, which is taken for the present life.
func (m *Members) ReadDeparture(text string) Departure {
	name, born, _ := strings.Cut(text, " ")
	n, err := strconv.ParseInt(born, 10, 64)
	if err != nil {
		return m.DepartureOf(name)
	}
	return Departure{
		Upstream: name,
		Born:     n,
	}
}

// departed is a departure and when it was learned.
type departed struct {
	born  int64
	at    mgclock.Millis
	until mgclock.Millis // 0 where it doesn't end by itself
}

// holds reports whether a departure hasn't ended by itself.
func (d departed) holds(now mgclock.Millis) bool { return d.until == 0 || now < d.until }

// DepartureOf returns the departure of an upstream's present life, as the list shows it.
func (m *Members) DepartureOf(upstream string) Departure {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Departure{
		Upstream: upstream,
		Born:     m.known[upstream].Born,
	}
}

// Depart takes an upstream's word that it leaves, and reports whether that is news: it
// was not known, and the list shows the upstream as staying.
func (m *Members) Depart(now mgclock.Millis, d Departure) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	vm, listed := m.known[d.Upstream]
	if listed && vm.Born > d.Born {
		return false // it has started again since
	}
	before, known := m.departures[d.Upstream]
	if known && before.born >= d.Born && before.until == 0 {
		return false
	}
	if m.departures == nil {
		m.departures = map[string]departed{}
	}
	m.departures[d.Upstream] = departed{
		born: d.Born,
		at:   now,
	}
	m.rebuild(now)
	return !listed || vm.State != mgplatform.Leaving
}

// leaves reports whether an upstream has said in its present life that it leaves.
func (m *Members) leaves(name string, born int64) bool {
	d, known := m.departures[name]
	return known && born <= d.born
}

// endDepartures drops the words that nothing depends on any more, and reports whether
// there were any: those of upstreams that have long been gone, or whose lives the list
// doesn't tell apart.
func (m *Members) endDepartures(now mgclock.Millis) bool {
	changed := false
	for name, d := range m.departures {
		vm, known := m.known[name]
		switch {
		case known && vm.Born > d.born:
		case d.until > 0:
			if d.holds(now) {
				continue
			}
		case now < d.at+wordLife || known && vm.Born > 0 && m.isListed(name):
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
