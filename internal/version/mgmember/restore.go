package mgmember

import (
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// goneLife is how long a row that has left the list is remembered: a platform comes back
	// from a copy that is some seconds old.
	removedRowTTL = 30 * mgclock.Second
	// returnGrace is how long a row that had left the list gets no work after a copy has
	// brought it back: by then what the copy lacks has been written again.
	returnedRowDelay = 3200 * mgclock.Millis(1)
)

// gone is a row that has left the list.
type removedRow struct {
	startedAt int64
	removedAt mgclock.Millis
}

// noteGone remembers the rows of the last list that a newer one lacks. It is called with mu
// held.
func (m *Members) recordRemovedRows(now mgclock.Millis, list mgplatform.List) {
	listed := make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		listed[vm.Name] = true
	}
	for _, vm := range m.list.VMs {
		if listed[vm.Name] {
			continue
		}
		if m.removedRows == nil {
			m.removedRows = map[string]removedRow{}
		}
		m.removedRows[vm.Name] = removedRow{
			startedAt: vm.Born,
			removedAt: now,
		}
	}
	for name, g := range m.removedRows {
		if now >= g.removedAt+removedRowTTL {
			delete(m.removedRows, name)
		}
	}
}

// enterEra keeps what a list of a new era takes back: upstreams that were leaving, or had
// left, stay so in the same life. It is called with mu held, before the list is taken.
func (m *Members) keepDepartures(now mgclock.Millis, list mgplatform.List) {
	if m.list.Version == 0 || list.Era <= m.list.Era {
		return
	}
	leaving := map[string]mgplatform.VM{}
	for _, vm := range m.list.VMs {
		if vm.State == mgplatform.Leaving {
			leaving[vm.Name] = vm
		}
	}
	for _, vm := range list.VMs {
		if vm.State == mgplatform.Leaving {
			continue
		}
		if before, known := leaving[vm.Name]; known && vm.Born <= before.Born {
			m.markDeparted(now, vm.Name, departureRecord{
				startedAt:  before.Born,
				recordedAt: now,
			})
			continue
		}
		if g, known := m.removedRows[vm.Name]; known && vm.Born <= g.startedAt && now < g.removedAt+removedRowTTL {
			m.markDeparted(now, vm.Name, departureRecord{
				startedAt:  g.startedAt,
				recordedAt: now,
				expiresAt:  now + returnedRowDelay,
			})
		}
	}
}

// keepAway takes that an upstream leaves, unless its own word says so already.
func (m *Members) markDeparted(now mgclock.Millis, name string, d departureRecord) {
	if before, known := m.departures[name]; known && before.startedAt >= d.startedAt && before.isActive(now) {
		return
	}
	if m.departures == nil {
		m.departures = map[string]departureRecord{}
	}
	m.departures[name] = d
}
