package mgmember

import (
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// goneLife is how long a row that has left the list is remembered: a platform comes back
	// from a copy that is some seconds old.
	goneLife = 30 * mgclock.Second
	// returnGrace is how long a row that had left the list gets no work after a copy has
	// brought it back: by then what the copy lacks has been written again.
	returnGrace = 3200 * mgclock.Millis(1)
)

// gone is a row that has left the list.
type gone struct {
	born int64
	at   mgclock.Millis
}

// noteGone remembers the rows of the last list that a newer one lacks. It is called with mu
// held.
func (m *Members) noteGone(now mgclock.Millis, list mgplatform.List) {
	stays := make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		stays[vm.Name] = true
	}
	for _, vm := range m.list.VMs {
		if stays[vm.Name] {
			continue
		}
		if m.gone == nil {
			m.gone = map[string]gone{}
		}
		m.gone[vm.Name] = gone{
			born: vm.Born,
			at:   now,
		}
	}
	for name, g := range m.gone {
		if now >= g.at+goneLife {
			delete(m.gone, name)
		}
	}
}

// enterEra keeps what a list of a new era takes back: upstreams that were leaving, or had
// left, stay so in the same life. It is called with mu held, before the list is taken.
func (m *Members) enterEra(now mgclock.Millis, list mgplatform.List) {
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
			m.keepAway(now, vm.Name, departed{
				born: before.Born,
				at:   now,
			})
			continue
		}
		if g, known := m.gone[vm.Name]; known && vm.Born <= g.born && now < g.at+goneLife {
			m.keepAway(now, vm.Name, departed{
				born:  g.born,
				at:    now,
				until: now + returnGrace,
			})
		}
	}
}

// keepAway takes that an upstream leaves, unless its own word says so already.
func (m *Members) keepAway(now mgclock.Millis, name string, d departed) {
	if before, known := m.departures[name]; known && before.born >= d.born && before.holds(now) {
		return
	}
	if m.departures == nil {
		m.departures = map[string]departed{}
	}
	m.departures[name] = d
}
