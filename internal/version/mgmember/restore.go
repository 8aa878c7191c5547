package mgmember

import (
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// removedRowTTL is how long a row that was removed from the list is remembered: a
	// platform may be restored from a copy that is some seconds old.
	removedRowTTL = 30 * mgclock.Second
	// returnedRowDelay is how long a removed row that a restored copy has brought back
	// gets no work. Unless its upstream still runs, it expires three heartbeats of 1.2 s
	// after the restore, which becomes known within a second.
	returnedRowDelay = 4600 * mgclock.Millis(1)
)

// removedRow is a row that was removed from the list.
type removedRow struct {
	startedAt int64
	removedAt mgclock.Millis
}

// recordRemovedRows records the rows of the last list that a newer one lacks. mu must
// be held.
func (m *Members) recordRemovedRows(now mgclock.Millis, list mgplatform.VMList) {
	listed := make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		listed[vm.Name] = true
	}
	for _, vm := range m.list.VMs {
		if listed[vm.Name] {
			continue
		}
		m.recordRemovedRow(now, vm)
	}
	for name, g := range m.removedRows {
		if now >= g.removedAt+removedRowTTL {
			delete(m.removedRows, name)
		}
	}
}

// recordRemovedRow records a row that the list no longer has. mu must be held.
func (m *Members) recordRemovedRow(now mgclock.Millis, vm mgplatform.VM) {
	if m.removedRows == nil {
		m.removedRows = map[string]removedRow{}
	}
	m.removedRows[vm.Name] = removedRow{
		startedAt: vm.IncarnationStart,
		removedAt: now,
	}
}

// keepDepartures keeps the departures that a list of a new era undoes: upstreams that
// were leaving, or had left, stay so in the same incarnation. It must be called with mu
// held, before the list is adopted.
func (m *Members) keepDepartures(now mgclock.Millis, list mgplatform.VMList) {
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
		if before, known := leaving[vm.Name]; known && vm.IncarnationStart <= before.IncarnationStart {
			m.markDeparted(now, vm.Name, departureRecord{
				startedAt:  before.IncarnationStart,
				recordedAt: now,
			})
			continue
		}
		if g, known := m.removedRows[vm.Name]; known && vm.IncarnationStart <= g.startedAt && now < g.removedAt+removedRowTTL {
			m.withhold(now, vm.Name, g.startedAt, returnedRowDelay)
			m.recordRemovedRow(now, vm) // the next backup may bring it back, too
		}
	}
}

// markDeparted records that an upstream is leaving, unless its own announcement is
// recorded already.
func (m *Members) markDeparted(now mgclock.Millis, name string, d departureRecord) {
	before, known := m.departures[name]
	outlasts := before.expiresAt == 0 || d.expiresAt > 0 && before.expiresAt >= d.expiresAt
	if known && before.startedAt >= d.startedAt && before.isActive(now) && outlasts {
		return
	}
	if m.departures == nil {
		m.departures = map[string]departureRecord{}
	}
	m.departures[name] = d
}
