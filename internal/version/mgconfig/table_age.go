package mgconfig

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// A process that doesn't know the newest table may serve what its table allows, and must
// not say that a route or a key isn't there: callers take that for the last word. Where
// one watch of the platform covers list and table (MachineSpec.Joint), each answer about
// the list says that there is no newer table, and its age goes with the word of the list.

// certainSpan is how old that word may be. An edit is in force everywhere two seconds
// after it was accepted.
const tableMaxAge = 1500 * mgclock.Millis(1)

// Certain reports whether the table in force was the newest a moment ago.
func (m *Machine) TableConfirmed(now mgclock.Millis) bool {
	if !m.spec.Joint {
		return true // nobody tells how old the table is
	}
	age := m.tableAge(now)
	return age >= 0 && age <= tableMaxAge
}

// tableAge returns how long ago the platform had no newer table, or -1 where that isn't
// known.
func (m *Machine) tableAge(now mgclock.Millis) mgclock.Millis {
	if m.restored && now < m.restoredAt+restoreWindow {
		return -1
	}
	behind := m.pull != nil && m.pull.key.isAfter(m.Current().key())
	if m.Current() == nil || behind || m.tableReadPending || !m.tableConfirmed {
		return -1
	}
	return now - m.tableConfirmedAt
}

// confirmTable takes that the platform had no table newer than the one that was read at a
// time.
func (m *Machine) confirmTable(at mgclock.Millis) {
	if !m.tableConfirmed || at > m.tableConfirmedAt {
		m.tableConfirmedAt = at
	}
	m.tableConfirmed = true
}

// confirmTableBy takes the same from another's word of the table in force here.
func (m *Machine) confirmTableFrom(now mgclock.Millis, report Word) {
	if report.TableAge >= 0 && report.Table == m.Current().Version() {
		m.confirmTable(now - report.TableAge)
	}
}

// copySpan is how long after the platform has come back from an older copy its newest table
// may not be the newest that was accepted: what the copy lacks is written again meanwhile.
const restoreWindow = 3200 * mgclock.Millis(1)

// enterEra takes the era of a list that was taken.
func (m *Machine) setEra(now mgclock.Millis, era uint64) {
	if m.list != nil && era > m.era {
		m.restored = true
		m.restoredAt = now
	}
	m.era = era
}
