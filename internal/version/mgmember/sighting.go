package mgmember

import (
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Sighting is a process that the platform's list doesn't name, as one process tells
// another of it: where it is, and how long ago anyone heard it directly. The age is
// told on and grows with the time, so that no two processes keep a third alive by each
// other's word.
type Sighting struct {
	Name   string         `json:"name"`
	Addr   string         `json:"addr"` // where other processes reach it
	Zone   string         `json:"zone"`
	Region string         `json:"region"`
	Power  int            `json:"power,omitempty"`
	Age    mgclock.Millis `json:"age"`
}

// Sightings returns the processes that are known though the list doesn't name them.
// On a platform that lists all processes there are none.
func (m *Members) Sightings(now mgclock.Millis) []Sighting {
	view := m.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Sighting
	for _, member := range view.All() {
		e := m.evidence[member.Name()]
		if member.Listed() || !member.Peer() || e == nil || !e.everHeard || now >= e.heard+heardLife {
			continue
		}
		all = append(all, Sighting{
			Name:   member.Name(),
			Addr:   member.PeerAddr(),
			Zone:   member.Zone(),
			Region: member.Region(),
			Power:  member.Power(),
			Age:    now - e.heard,
		})
	}
	return all
}

// Sighted takes another process's sightings, and reports whether any of them was not
// known. One rebuild of the view serves all that are new.
func (m *Members) Sighted(now mgclock.Millis, all []Sighting) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	fresh := false
	for _, s := range all {
		if s.Age < 0 || s.Age >= heardLife || s.Addr == "" {
			continue
		}
		fresh = m.introduce(now-s.Age, mgplatform.VM{
			Name:   s.Name,
			Kind:   mgplatform.EntryKind,
			Addr:   s.Addr,
			Zone:   s.Zone,
			Region: s.Region,
			Power:  s.Power,
		}) || fresh
	}
	if fresh {
		m.rebuild(now)
	}
	return fresh
}

// introduce notes that a process was heard at a time, and reports whether it is new.
// It is called with mu held.
func (m *Members) introduce(heard mgclock.Millis, vm mgplatform.VM) bool {
	if vm.Name == "" || vm.Name == m.self {
		return false
	}
	if m.known == nil {
		m.known = make(map[string]mgplatform.VM)
	}
	_, known := m.known[vm.Name]
	if !known {
		m.known[vm.Name] = vm
	}
	e := m.of(vm.Name)
	if !e.everHeard || heard > e.heard {
		e.heard = heard
	}
	e.everHeard = true
	return !known
}
