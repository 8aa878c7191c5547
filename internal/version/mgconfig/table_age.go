package mgconfig

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// A process that doesn't know the newest table may serve what its table allows, but
// must not answer that a route or a key doesn't exist: callers take that answer as
// final. Where one watch of the platform covers both list and table
// (MachineSpec.ListConfirmsTable), each answer about the list also confirms that there
// is no newer table, and reports of the list's age carry the age of that confirmation.

// maxTableConfirmationAge is the maximum age of the confirmation that the table is the
// newest; the table itself may be older. An edit must be in force everywhere two seconds
// after it was accepted.
const maxTableConfirmationAge = 1500 * mgclock.Millis(1)

// TableConfirmed reports whether the table in force was confirmed as the newest within
// maxTableConfirmationAge. It is always true without MachineSpec.ListConfirmsTable.
func (m *Machine) TableConfirmed(now mgclock.Millis) bool {
	if !m.spec.ListConfirmsTable {
		return true // the age of the table is unknown
	}
	age := m.tableConfirmationAge(now)
	return age >= 0 && age <= maxTableConfirmationAge
}

// tableConfirmationAge returns the age of the table's confirmation: the time since the
// platform last confirmed that it has no newer table, or -1 where that is unknown.
func (m *Machine) tableConfirmationAge(now mgclock.Millis) mgclock.Millis {
	if m.restored && now < m.restoredAt+restoreWindow {
		return -1
	}
	behind := m.pull != nil && m.pull.key.isAfter(m.Current().key())
	if m.Current() == nil || behind || m.tableReadPending || !m.tableConfirmed {
		return -1
	}
	return now - m.tableConfirmedAt
}

// confirmTable records that the platform had no table newer than the one in force at a
// given time.
func (m *Machine) confirmTable(at mgclock.Millis) {
	if !m.tableConfirmed || at > m.tableConfirmedAt {
		m.tableConfirmedAt = at
	}
	m.tableConfirmed = true
}

// confirmTableFrom records that the platform confirmed the table in force here, where
// another process's report of the same table says so.
func (m *Machine) confirmTableFrom(now mgclock.Millis, report VersionReport) {
	if report.TableAge >= 0 && report.Table == m.Current().Version() {
		m.confirmTable(now - report.TableAge)
	}
}

// restoreWindow is how long after the platform was restored from an older backup its
// newest table may lack the newest accepted edit: what the backup lacks is written
// again meanwhile.
const restoreWindow = 3200 * mgclock.Millis(1)

// setEra records the era of an adopted list. A greater era means that the platform was
// restored from a backup.
func (m *Machine) setEra(now mgclock.Millis, era uint64) {
	if m.list != nil && era > m.era {
		m.restored = true
		m.restoredAt = now
	}
	m.era = era
}
