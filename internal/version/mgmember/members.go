package mgmember

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// suspectAfterFailures is the number of consecutive failed calls after which a
	// member is suspected. One lost reply on a congested link is no evidence; two in a
	// row are.
	suspectAfterFailures = 2
	// suspicionMin is the first timeout of a suspicion and suspicionMax the maximum. A
	// second is long compared with the time to re-establish a connection, and half a
	// minute limits the time until a recovered member is used again.
	suspicionMin = mgclock.Second
	suspicionMax = 30 * mgclock.Second
	// leavingTTL is how long a process's announcement that it is leaving overrides a
	// list that shows it as live. It must exceed the lag of the list; after that the VM
	// has been replaced and its name may be in use again.
	leavingTTL = 2 * mgclock.Minute
	// lastSeenTTL is how long a member that isn't on the list stays known after it was
	// last seen: a new VM that the list doesn't show yet, or a row that a faulty list
	// lost.
	lastSeenTTL = 30 * mgclock.Second
)

// evidence holds the direct observations of one member.
type evidence struct {
	incarnation  string         // the newest one seen
	lastSeen     mgclock.Millis // time of the last answer or message
	wasSeen      bool
	leavingSince mgclock.Millis // time of the announcement that it is leaving
	leaving      bool
	failures     int            // consecutive failures
	suspectUntil mgclock.Millis // end of the suspicion
	suspect      bool
	awaitsAnswer bool           // a suspicion expired, and it hasn't answered since
	recoveredAt  mgclock.Millis // time of the first answer after the last suspicion
}

// Members holds the members. The zero Members is empty. Its methods are safe for
// concurrent use.
type Members struct {
	self string
	view atomic.Pointer[View]

	mu            sync.Mutex
	list          mgplatform.VMList
	known         map[string]mgplatform.VM // last listed row of each member
	evidence      map[string]*evidence
	coldUntil     map[string]mgclock.Millis // by name, the time until which a listed upstream is cold
	cordonedSince map[string]mgclock.Millis // by availability zone, the time when the cordon became known here
	// cordonsHeldUntil is the time until which a cordon that the platform lacks is held, by availability zone.
	cordonsHeldUntil  map[string]mgclock.Millis
	departures        map[string]departureRecord // by upstream
	removedRows       map[string]removedRow      // rows recently removed from the list, by name
	graceUntil        mgclock.Millis             // end of the grace period; see HoldMissing
	restoreGraceUntil mgclock.Millis             // end of the grace period after the last restore
	cordonGraceUntil  mgclock.Millis             // the same for cordons
	heldUntil         map[string]mgclock.Millis  // by name, the time until which a row that the platform lacks is held
	listHasHolds      bool                       // the list was adopted with rows or cordons that are held for a time
	viewOutdated      bool                       // the view lacks a new incarnation until the next Tick
	viewChanged       chan struct{}              // closed when the view is replaced
}

// New returns the members as the process named self sees them.
func New(self string) *Members {
	return &Members{
		self: self,
	}
}

// Self returns the name of this process.
func (m *Members) Self() string { return m.self }

// View returns the current view. It takes no lock.
func (m *Members) View() *View {
	if v := m.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Changed returns a channel that is closed when the view is next replaced. Call it
// before View, so that no change is missed.
func (m *Members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.viewChanged == nil {
		m.viewChanged = make(chan struct{})
	}
	return m.viewChanged
}

// AdoptList adopts a list of VMs and reports whether it was newer than the last.
func (m *Members) AdoptList(now mgclock.Millis, list mgplatform.VMList) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if list.Version <= m.list.Version {
		return false
	}
	isRestored := m.isRestored(list)
	m.recordRemovedRows(now, list)
	list.VMs = m.withoutRemoved(now, list.VMs)
	m.keepDepartures(now, list)
	m.list = list
	if m.known == nil {
		m.known = make(map[string]mgplatform.VM)
	}
	for _, vm := range list.VMs {
		if m.isNamesake(now, vm) {
			continue
		}
		if vm.IncarnationStart > m.known[vm.Name].IncarnationStart {
			// The upstream has restarted. Evidence about its last incarnation, such as
			// its announcement that it is leaving, would keep work from it for two
			// minutes.
			delete(m.evidence, vm.Name)
		}
		m.known[vm.Name] = vm
	}
	m.setCordons(now, list.Cordoned)
	m.setColdUntil(now, list.VMs)
	m.adoptHolds(now, list, isRestored)
	m.forgetReturned(list.VMs)
	m.rebuild(now)
	return true
}

// setCordons records which availability zones get no new work.
func (m *Members) setCordons(now mgclock.Millis, zones []string) {
	cordons := make(map[string]mgclock.Millis, len(zones))
	for _, zone := range zones {
		cordons[zone] = now
		if since, known := m.cordonedSince[zone]; known {
			cordons[zone] = since
		}
	}
	m.cordonedSince = cordons
}

// setColdUntil records until when upstreams are cold.
func (m *Members) setColdUntil(now mgclock.Millis, vms []mgplatform.VM) {
	m.coldUntil = make(map[string]mgclock.Millis)
	for _, vm := range vms {
		if vm.ColdMillis > 0 {
			m.coldUntil[vm.Name] = now + mgclock.Millis(vm.ColdMillis)
		}
	}
}

// RecordMessage records a message of a process about itself. A message of an older incarnation
// is dropped: a late reply must not change the state of its successor.
func (m *Members) RecordMessage(now mgclock.Millis, name, incarnation string, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.evidenceOf(name)
	if incarnation < e.incarnation {
		return
	}
	before := *e
	if incarnation > e.incarnation {
		*e = evidence{
			incarnation: incarnation,
		}
	}
	e.lastSeen = now
	e.wasSeen = true
	e.failures = 0
	e.suspect = false
	if leaving && !e.leaving {
		e.leaving = true
		e.leavingSince = now
	}
	if before.leaving != e.leaving || before.suspect {
		m.rebuild(now)
		return
	}
	// The set of members that get work hasn't changed. In a mass restart every member
	// is seen with a new incarnation once, and building a view of 1,260 takes two
	// milliseconds.
	m.viewOutdated = m.viewOutdated || before.incarnation != e.incarnation
}

// Introduce adds a process that the list doesn't name, because of its own message or
// another process's record: a platform may list only the upstreams. The process counts
// as last seen at the given time, and stays known while it is seen.
func (m *Members) Introduce(lastSeen mgclock.Millis, vm mgplatform.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.introduce(lastSeen, vm) {
		m.rebuild(lastSeen)
	}
}

// RecordAnswer records an answer of a member that carried no message about itself. Without
// it two failures that are hours apart would count as consecutive.
func (m *Members) RecordAnswer(now mgclock.Millis, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.evidenceOf(name)
	e.lastSeen = now
	e.wasSeen = true
	e.failures = 0
	if e.suspect || e.awaitsAnswer {
		e.suspect = false
		e.awaitsAnswer = false
		e.recoveredAt = now
		m.rebuild(now)
	}
}

// RecordFailure records a call to a member that got no answer.
func (m *Members) RecordFailure(now mgclock.Millis, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.evidenceOf(name)
	e.failures++
	if e.failures < suspectAfterFailures || now < e.suspectUntil {
		return
	}
	e.suspectUntil = now + m.suspicionDuration(name, e.failures)
	if !e.suspect {
		e.suspect = true
		m.rebuild(now)
	}
}

// suspicionDuration returns a duration that doubles with each failure past the
// threshold, less up to a quarter that depends on the observer: after a partition
// heals, its two halves must not all call each other in the same instant.
func (m *Members) suspicionDuration(name string, failures int) mgclock.Millis {
	duration := suspicionMax
	if shift := failures - suspectAfterFailures; shift < 5 {
		duration = min(suspicionMax, suspicionMin<<shift)
	}
	jitter := xxhash.Sum64String(m.self+"\x00"+name) % uint64(duration/4)
	return duration - mgclock.Millis(jitter)
}

// Tick ends the suspicions and announcements that have expired. It must be called about
// once a second.
func (m *Members) Tick(now mgclock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.viewOutdated
	for name, e := range m.evidence {
		if e.suspect && now >= e.suspectUntil {
			e.suspect = false
			e.awaitsAnswer = true
			changed = true
		}
		if e.leaving && now >= e.leavingSince+leavingTTL {
			e.leaving = false
			changed = true
		}
		if m.forget(now, name, e) {
			changed = true
		}
	}
	changed = m.expireDepartures(now) || changed
	changed = m.expireHolds(now) || changed
	if changed {
		m.rebuild(now)
	}
}

// forget drops a member that is neither listed nor recently seen, and reports whether
// the view changes.
func (m *Members) forget(now mgclock.Millis, name string, e *evidence) bool {
	v, ok := m.View().Member(name)
	if ok && v.listed || now < e.lastSeen+lastSeenTTL || e.suspect || e.leaving {
		return false
	}
	if !ok {
		delete(m.evidence, name)
		return false
	}
	delete(m.evidence, name)
	delete(m.known, name)
	return true
}

// SeenWithin reports whether a member was last seen at most maxAge ago.
func (m *Members) SeenWithin(now mgclock.Millis, name string, maxAge mgclock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.evidence[name]
	return e != nil && e.wasSeen && now-e.lastSeen <= maxAge
}

func (m *Members) evidenceOf(name string) *evidence {
	if m.evidence == nil {
		m.evidence = make(map[string]*evidence)
	}
	e := m.evidence[name]
	if e == nil {
		e = &evidence{}
		m.evidence[name] = e
	}
	return e
}

// rebuild replaces the view. mu must be held.
func (m *Members) rebuild(now mgclock.Millis) {
	m.viewOutdated = false
	all := make([]*Member, 0, len(m.list.VMs))
	listed := make(map[string]bool, len(m.list.VMs))
	for _, vm := range m.list.VMs {
		if m.isNamesake(now, vm) {
			continue
		}
		listed[vm.Name] = true
		all = append(all, m.member(vm, true))
	}
	for name, vm := range m.known {
		if listed[name] {
			continue
		}
		e := m.evidence[name]
		if e == nil || !e.wasSeen || now >= e.lastSeen+lastSeenTTL {
			delete(m.known, name)
			continue
		}
		all = append(all, m.member(vm, false))
	}
	m.view.Store(newView(viewSpec{
		version:       m.list.Version,
		self:          m.self,
		all:           all,
		cordonedSince: m.cordonedSince,
	}))
	if m.viewChanged != nil {
		close(m.viewChanged)
		m.viewChanged = nil
	}
}

// isNamesake reports whether a row is an upstream's that has the name of this process or of a known one. Upstreams
// choose their names, and other programs write such rows by mistake; processes are known by their own messages. mu
// must be held.
func (m *Members) isNamesake(now mgclock.Millis, vm mgplatform.VM) bool {
	if vm.Kind != mgplatform.UpstreamKind {
		return false
	}
	known, ok := m.known[vm.Name]
	e := m.evidence[vm.Name]
	isProcess := ok && known.Kind != mgplatform.UpstreamKind && e != nil && e.wasSeen && now < e.lastSeen+lastSeenTTL
	return isProcess || vm.Name == m.self
}

// member combines a row of the list with the evidence.
func (m *Members) member(vm mgplatform.VM, listed bool) *Member {
	member := &Member{
		vm:       vm,
		nameHash: xxhash.Sum64String(vm.Name),
		listed:   listed,
		leaving:  vm.State == mgplatform.Leaving || m.hasDeparted(vm.Name, vm.IncarnationStart),
	}
	member.coldUntil = m.coldUntil[vm.Name]
	_, member.cordoned = m.cordonedSince[vm.Zone]
	if e := m.evidence[vm.Name]; e != nil {
		member.incarnation = e.incarnation
		member.leaving = member.leaving || e.leaving
		member.suspect = e.suspect
		member.awaitsAnswer = e.awaitsAnswer
		member.recoveredAt = e.recoveredAt
	}
	return member
}
