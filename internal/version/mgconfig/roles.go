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
	if m.cachedRoles.view == view && m.cachedRoles.leaving == m.leaving {
		return &m.cachedRoles
	}
	cell := view.Cell(m.spec.Name, m.spec.Region).Peers
	m.cachedRoles = roles{
		view:    view,
		leaving: m.leaving,
		reader:  m.topRanked(view.Able(m.spec.Region)),
		hub:     m.topRanked(cell),
		rank:    m.rankInCell(cell),
	}
	return &m.cachedRoles
}

// rankAmong returns the place of this process among its peers and itself, keepers at
// most.
func (m *Machine) rankInCell(peers []*mgmember.Member) int {
	self := mgmember.Self(m.spec.Name, m.spec.Zone, m.spec.Power)
	for i, member := range mgmember.RankHub(append(slices.Clone(peers), self), watchersPerCell) {
		if member == self {
			return i
		}
	}
	return watchersPerCell
}

// first returns which of some peers and this process works for the others, or nil
// where it is this one. A process that leaves is passed over by its peers, too.
func (m *Machine) topRanked(peers []*mgmember.Member) *mgmember.Member {
	self := mgmember.Self(m.spec.Name, m.spec.Zone, m.spec.Power)
	if !m.leaving || len(peers) == 0 {
		peers = append(slices.Clone(peers), self)
	}
	if top := mgmember.RankHub(peers, 1)[0]; top != self {
		return top
	}
	return nil
}
