package mgmember

import (
	"maps"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// While the platform is unavailable, rows of running upstreams expire, and a backup from
// which it is restored lacks the newest rows. Running upstreams write theirs again within
// two seconds. So in a grace period after the platform's return, a row that its list lacks
// is held: it stays in the list with the time for which it does, and each process that
// has the list drops it by its own clock when that is over. No later change of the
// platform is needed for that, which may not come for minutes.

const (
	// gracePeriod is the time after the platform's return in which rows are held. The
	// return is noticed up to 0.7 s late, and three seconds after it an upstream whose row
	// the platform lacks must get no more work.
	gracePeriod = 2200 * mgclock.Millis(1)
	// lateGracePeriod is the time for which a row is held that expires after the platform's
	// return: a running upstream writes its row about every 1.2 s. An upstream that is
	// leaving must get no more work two seconds after its row was removed.
	lateGracePeriod = 1500 * mgclock.Millis(1)
	// cordonGracePeriod is the time after a restore of the platform in which cordons that
	// the backup lacks are held.
	cordonGracePeriod = gracePeriod + mgclock.Second
)

// BeginGracePeriod begins a grace period: the platform has answered again after an
// outage.
func (m *Members) BeginGracePeriod(now mgclock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.graceUntil = max(m.graceUntil, now+gracePeriod)
}

// InGracePeriod reports whether the list may hold rows that the platform lacks, or have
// rows as they were in a backup.
func (m *Members) InGracePeriod(now mgclock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now < m.graceUntil
}

// HoldMissing returns a list that the platform has returned with the rows and cordons that
// it lacks and that are held. What is missing is judged by the list in use, to which all
// processes contribute: what this process itself has read may be minutes old. isFirst is
// set for the platform's first answer after an outage.
func (m *Members) HoldMissing(now mgclock.Millis, list mgplatform.VMList, isFirst bool) mgplatform.VMList {
	m.mu.Lock()
	defer m.mu.Unlock()
	if list.Version <= m.list.Version {
		return list
	}
	isRestored := m.isRestored(list)
	if isRestored && !isFirst {
		m.graceUntil = max(m.graceUntil, now+gracePeriod)
	}
	list.VMs = append(slices.Clone(list.VMs), m.heldRows(now, list, isFirst || isRestored)...)
	list.GraceMillis = int64(max(m.graceUntil-now, 0))
	m.holdCordons(now, &list)
	return list
}

// isRestored reports whether a list is the first one after a restore of the platform.
func (m *Members) isRestored(list mgplatform.VMList) bool {
	return m.list.Version > 0 && list.Era > m.list.Era
}

// heldRows returns the rows of the list in use that the given one lacks and that are held.
// After a restore these are all rows that its first list lacks. Otherwise they are those of
// services with more rows missing than present, which indicates expired rows: a process
// that was cut off from a platform that served all others also finds rows missing, but
// others in their place.
func (m *Members) heldRows(now mgclock.Millis, list mgplatform.VMList, isFirst bool) []mgplatform.VM {
	isRestored := m.isRestored(list)
	listed := make(map[string]bool, len(list.VMs))
	present := map[string]int{}
	for _, vm := range list.VMs {
		listed[vm.Name] = true
		present[serviceOf(vm)]++
	}
	var missing []mgplatform.VM
	missingCount := map[string]int{}
	for _, vm := range m.list.VMs {
		if listed[vm.Name] {
			continue
		}
		if vm.HeldMillis = int64(m.holdUntil(now, vm, isFirst) - now); vm.HeldMillis <= 0 {
			continue
		}
		missing = append(missing, vm)
		missingCount[serviceOf(vm)]++
	}
	return slices.DeleteFunc(missing, func(vm mgplatform.VM) bool {
		_, held := m.heldUntil[vm.Name]
		lackedByBackup := isRestored || held && now < m.restoreGraceUntil
		return !lackedByBackup && present[serviceOf(vm)] >= missingCount[serviceOf(vm)]
	})
}

// holdUntil returns the time until which a row that the platform lacks may be held, which
// is in the past if its upstream is leaving.
func (m *Members) holdUntil(now mgclock.Millis, vm mgplatform.VM, isFirst bool) mgclock.Millis {
	if vm.Kind != mgplatform.UpstreamKind || vm.State == mgplatform.Leaving || m.hasDeparted(vm.Name, vm.IncarnationStart) {
		return now
	}
	if isFirst {
		return m.graceUntil
	}
	if until, held := m.heldUntil[vm.Name]; held {
		return until
	}
	return min(m.graceUntil, now+lateGracePeriod)
}

// serviceOf returns what an upstream serves.
func serviceOf(vm mgplatform.VM) string {
	if len(vm.Services) == 0 {
		return ""
	}
	return vm.Services[0]
}

// holdCordons adds the cordons in use that a restored platform lacks, unless the operator
// has lifted them since.
func (m *Members) holdCordons(now mgclock.Millis, list *mgplatform.VMList) {
	remaining := int64(m.cordonGraceUntil - now)
	if m.isRestored(*list) {
		remaining = int64(cordonGracePeriod)
	}
	if remaining <= 0 {
		return
	}
	for zone := range m.cordonedSince {
		if slices.Contains(list.Cordoned, zone) || slices.Contains(list.Uncordoned, zone) {
			continue
		}
		if list.CordonsHeld == nil {
			list.CordonsHeld = map[string]int64{}
		}
		list.CordonsHeld[zone] = remaining
	}
	list.Cordoned = slices.Sorted(maps.Keys(union(list.Cordoned, list.CordonsHeld)))
}

// union returns the set of some zones and the keys of a map.
func union(zones []string, held map[string]int64) map[string]bool {
	all := make(map[string]bool, len(zones)+len(held))
	for _, zone := range zones {
		all[zone] = true
	}
	for zone := range held {
		all[zone] = true
	}
	return all
}

// withoutRemoved returns the rows of a list without held ones that this process has seen
// removed. Their sender's list in use was outdated, such as after a pause.
func (m *Members) withoutRemoved(now mgclock.Millis, rows []mgplatform.VM) []mgplatform.VM {
	if len(m.removedRows) == 0 {
		return rows
	}
	return slices.DeleteFunc(slices.Clone(rows), func(vm mgplatform.VM) bool {
		removed, known := m.removedRows[vm.Name]
		return vm.HeldMillis > 0 && known && vm.IncarnationStart <= removed.startedAt && now < removed.removedAt+removedRowTTL
	})
}

// forgetReturned forgets the removal of rows that the list has again and that get work.
// Otherwise the next restore of the platform would withhold them, and their rows wouldn't be
// held.
func (m *Members) forgetReturned(rows []mgplatform.VM) {
	if len(m.removedRows) == 0 {
		return
	}
	for _, vm := range rows {
		if vm.HeldMillis == 0 && !m.hasDeparted(vm.Name, vm.IncarnationStart) {
			delete(m.removedRows, vm.Name)
		}
	}
}

// adoptHolds records until when the rows and cordons of an adopted list are held.
// isRestored is set for the first list after a restore of the platform.
func (m *Members) adoptHolds(now mgclock.Millis, list mgplatform.VMList, isRestored bool) {
	m.graceUntil = max(m.graceUntil, now+mgclock.Millis(list.GraceMillis))
	if isRestored {
		m.restoreGraceUntil = m.graceUntil
		m.cordonGraceUntil = now + cordonGracePeriod
	}
	m.heldUntil = map[string]mgclock.Millis{}
	for _, vm := range list.VMs {
		if vm.HeldMillis > 0 {
			m.heldUntil[vm.Name] = now + mgclock.Millis(vm.HeldMillis)
		}
	}
	m.cordonsHeldUntil = map[string]mgclock.Millis{}
	for zone, remaining := range list.CordonsHeld {
		m.cordonsHeldUntil[zone] = now + mgclock.Millis(remaining)
	}
	m.listHasHolds = list.GraceMillis > 0 || len(m.heldUntil)+len(m.cordonsHeldUntil) > 0
	for _, vm := range list.VMs {
		if vm.WithheldMillis > 0 {
			m.withhold(now, vm.Name, vm.IncarnationStart, mgclock.Millis(vm.WithheldMillis))
		}
		m.listHasHolds = m.listHasHolds || m.withheldFor(now, vm) > 0
	}
}

// withhold records that a row that a restored backup has brought back gets no work for a
// time.
func (m *Members) withhold(now mgclock.Millis, name string, startedAt int64, duration mgclock.Millis) {
	m.markDeparted(now, name, departureRecord{
		startedAt:  startedAt,
		recordedAt: now,
		expiresAt:  now + duration,
	})
}

// withheldFor returns how long a row gets no work because a backup has brought it back.
func (m *Members) withheldFor(now mgclock.Millis, vm mgplatform.VM) mgclock.Millis {
	if !m.hasDeparted(vm.Name, vm.IncarnationStart) {
		return 0
	}
	return max(m.departures[vm.Name].expiresAt-now, 0)
}

// expireHolds drops the rows and cordons whose time is over, and reports whether there
// were any.
func (m *Members) expireHolds(now mgclock.Millis) bool {
	expired := false
	for name, until := range m.heldUntil {
		if now >= until {
			delete(m.heldUntil, name)
			m.dropRow(now, name)
			expired = true
		}
	}
	for zone, until := range m.cordonsHeldUntil {
		if now >= until {
			delete(m.cordonsHeldUntil, zone)
			delete(m.cordonedSince, zone)
			expired = true
		}
	}
	return expired
}

// dropRow removes a row from the list in use.
func (m *Members) dropRow(now mgclock.Millis, name string) {
	rows := make([]mgplatform.VM, 0, len(m.list.VMs))
	for _, vm := range m.list.VMs {
		if vm.Name != name {
			rows = append(rows, vm)
			continue
		}
		m.recordRemovedRow(now, vm)
	}
	m.list.VMs = rows
}

// NextExpiry returns the time at which the next held row or cordon must be dropped, or the
// next withheld row used again, or false if there is none. Tick does so.
func (m *Members) NextExpiry() (at mgclock.Millis, exists bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, held := range []map[string]mgclock.Millis{m.heldUntil, m.cordonsHeldUntil} {
		for _, until := range held {
			if !exists || until < at {
				at, exists = until, true
			}
		}
	}
	for _, d := range m.departures {
		if d.expiresAt > 0 && (!exists || d.expiresAt < at) {
			at, exists = d.expiresAt, true
		}
	}
	return at, exists
}

// Kept returns the names of the rows that are held, and of those that are withheld since a
// backup has brought them back, sorted.
func (m *Members) Kept(now mgclock.Millis) (held, withheld []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, d := range m.departures {
		if d.expiresAt > now {
			withheld = append(withheld, name)
		}
	}
	slices.Sort(withheld)
	return slices.Sorted(maps.Keys(m.heldUntil)), withheld
}

// CurrentList returns the list in use with the times that remain now, and whether it has
// any or differs from the list that was adopted.
func (m *Members) CurrentList(now mgclock.Millis) (list mgplatform.VMList, differs bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listHasHolds {
		return m.list, false
	}
	list = m.list
	list.GraceMillis = int64(max(m.graceUntil-now, 0))
	list.VMs = make([]mgplatform.VM, 0, len(m.list.VMs))
	for _, vm := range m.list.VMs {
		if until, held := m.heldUntil[vm.Name]; held {
			vm.HeldMillis = int64(until - now)
			if vm.HeldMillis <= 0 {
				continue
			}
		}
		vm.WithheldMillis = int64(m.withheldFor(now, vm))
		list.VMs = append(list.VMs, vm)
	}
	list.Cordoned = slices.Sorted(maps.Keys(m.cordonedSince))
	list.CordonsHeld = map[string]int64{}
	for zone, until := range m.cordonsHeldUntil {
		list.CordonsHeld[zone] = int64(max(until-now, 1))
	}
	return list, true
}
