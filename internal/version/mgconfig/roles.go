package mgconfig

import (
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// roles says who reads and tells the list in a region, as one view shows it.
type roles struct {
	view    *mgmember.View
	leaving bool
	reader  *mgmember.Member // nil where it is this process
	hub     *mgmember.Member // of the own cell, nil where it is this process
	rank    int              // of this process in its cell; see keepers
}

// roles returns them for the present view. Ranking some hundred members takes a tenth
// of a millisecond, and the view changes far more rarely than it is asked for.
func (m *Machine) roles() *roles {
	view := m.members.View()
	if m.assigned.view == view && m.assigned.leaving == m.leaving {
		return &m.assigned
	}
	cell := view.Cell(m.spec.Name, m.spec.Region).Peers
	m.assigned = roles{
		view:    view,
		leaving: m.leaving,
		reader:  m.first(view.Able(m.spec.Region)),
		hub:     m.first(cell),
		rank:    m.rankAmong(cell),
	}
	return &m.assigned
}

// rankAmong returns the place of this process among its peers and itself, keepers at
// most.
func (m *Machine) rankAmong(peers []*mgmember.Member) int {
	self := mgmember.Self(m.spec.Name, m.spec.Zone, m.spec.Power)
	for i, member := range mgmember.RankHub(append(slices.Clone(peers), self), keepers) {
		if member == self {
			return i
		}
	}
	return keepers
}

// first returns which of some peers and this process works for the others, or nil
// where it is this one. A process that leaves is passed over by its peers, too.
func (m *Machine) first(peers []*mgmember.Member) *mgmember.Member {
	self := mgmember.Self(m.spec.Name, m.spec.Zone, m.spec.Power)
	if !m.leaving || len(peers) == 0 {
		peers = append(slices.Clone(peers), self)
	}
	if first := mgmember.RankHub(peers, 1)[0]; first != self {
		return first
	}
	return nil
}
