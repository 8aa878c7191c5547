package mgconfig

import (
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// roles holds which processes read the list and distribute it in a region, according to
// one view.
type roles struct {
	view    *mgmember.View
	leaving bool             // whether this process was leaving; like view, it is what the roles were computed from
	reader  *mgmember.Member // nil where it is this process
	hub     *mgmember.Member // of the own cell, nil where it is this process
	rank    int              // rank of this process in its cell, at most watchersPerCell
}

// roles returns the roles for the current view. Ranking some hundred members takes a
// tenth of a millisecond, and the view changes far more rarely than roles is called, so
// the result is cached.
func (m *Machine) roles() *roles {
	view := m.members.View()
	if m.cachedRoles.view == view && m.cachedRoles.leaving == m.leaving {
		return &m.cachedRoles
	}
	cell := view.Cell(m.spec.Name, m.spec.Region).Peers
	m.cachedRoles = roles{
		view:    view,
		leaving: m.leaving,
		reader:  m.topRanked(view.HealthyPeers(m.spec.Region)),
		hub:     m.topRanked(cell),
		rank:    m.rankInCell(cell),
	}
	return &m.cachedRoles
}

// rankInCell returns the rank of this process among itself and its peers, at most
// watchersPerCell.
func (m *Machine) rankInCell(peers []*mgmember.Member) int {
	self := mgmember.Self(m.spec.Name, m.spec.Zone, m.spec.Power)
	for i, member := range mgmember.RankHub(append(slices.Clone(peers), self), watchersPerCell) {
		if member == self {
			return i
		}
	}
	return watchersPerCell
}

// topRanked returns the process that ranks first as hub, or as reader, among the given
// peers and this process, or nil where that is this one. A process that is leaving is
// skipped here and by its peers.
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
