package mgmember

import (
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Gossip is a record of a process that the platform's list doesn't name: its address,
// and the time since any process last saw it directly. The age is forwarded and grows
// with time, so that no two processes keep a third one alive by each other's records
// (gossip-style failure detection).
type Gossip struct {
	Name   string         `json:"name"`
	Addr   string         `json:"addr"` // address at which other processes reach it
	Zone   string         `json:"zone"`
	Region string         `json:"region"`
	Power  int            `json:"power,omitempty"`
	Age    mgclock.Millis `json:"age"`
}

// Gossip returns the records of the processes that the list doesn't name. On a platform
// that lists all processes there are none.
func (m *Members) Gossip(now mgclock.Millis) []Gossip {
	view := m.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Gossip
	for _, member := range view.All() {
		e := m.evidence[member.Name()]
		if member.Listed() || !member.IsPeer() || e == nil || !e.wasSeen || now >= e.lastSeen+lastSeenTTL {
			continue
		}
		all = append(all, Gossip{
			Name:   member.Name(),
			Addr:   member.PeerAddr(),
			Zone:   member.Zone(),
			Region: member.Region(),
			Power:  member.Power(),
			Age:    now - e.lastSeen,
		})
	}
	return all
}

// MergeGossip merges another process's records, and reports whether they named an
// unknown process. The view is rebuilt once for all new processes.
func (m *Members) MergeGossip(now mgclock.Millis, all []Gossip) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	foundNew := false
	for _, g := range all {
		if g.Age < 0 || g.Age >= lastSeenTTL || g.Addr == "" {
			continue
		}
		foundNew = m.introduce(now-g.Age, mgplatform.VM{
			Name:   g.Name,
			Kind:   mgplatform.EntryKind,
			Addr:   g.Addr,
			Zone:   g.Zone,
			Region: g.Region,
			Power:  g.Power,
		}) || foundNew
	}
	if foundNew {
		m.rebuild(now)
	}
	return foundNew
}

// introduce records that a process was last seen at a given time, and reports whether
// it is new. It replaces an upstream of its name. mu must be held.
func (m *Members) introduce(lastSeen mgclock.Millis, vm mgplatform.VM) bool {
	if vm.Name == "" || vm.Name == m.self {
		return false
	}
	if m.known == nil {
		m.known = make(map[string]mgplatform.VM)
	}
	before, known := m.known[vm.Name]
	if known && before.Kind == mgplatform.UpstreamKind {
		// An upstream's evidence says nothing about the process of its name.
		known = false
		delete(m.evidence, vm.Name)
	}
	if !known {
		m.known[vm.Name] = vm
	}
	e := m.evidenceOf(vm.Name)
	if !e.wasSeen || lastSeen > e.lastSeen {
		e.lastSeen = lastSeen
	}
	e.wasSeen = true
	return !known
}
