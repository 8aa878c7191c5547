package mgmember

import (
	"cmp"
	"slices"
)

// maxCellSize is the maximum number of processes that share one hub. A hub sums the
// reports that each process sends it five times a second: with a few hundred processes
// this takes up its CPU and its link, and its replies come late.
const maxCellSize = 40

// CellCount returns the number of cells for a number of processes: a power of two, so that
// processes with slightly different counts mostly agree.
func CellCount(processes int) int {
	cells := 1
	for processes > maxCellSize*cells {
		cells *= 2
	}
	return cells
}

// compareByHash orders members by a hash of their names. Cells are runs of equal length
// of this order: a process that joins or leaves moves the borders between them by one,
// and no cell has more processes, or fewer upstreams, than another. Cells by the hash
// value itself would differ by a third among 300 processes, which full engines can't
// absorb.
func compareByHash(a, b *Member) int {
	if c := cmp.Compare(a.nameHash, b.nameHash); c != 0 {
		return c
	}
	return cmp.Compare(a.Name(), b.Name())
}

// CellPart returns the part of the upstreams that belongs to a cell.
func CellPart(all []*Member, cell, cells int) []*Member {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, compareByHash)
	return sorted[cell*len(sorted)/cells : (cell+1)*len(sorted)/cells]
}

// A Cell is the part of a region's processes that share a hub.
type Cell struct {
	Peers []*Member // healthy known processes, without this one
	Index int       // index of the cell, from 0
	Count int       // number of cells in the region
}

// HealthyPeers returns the processes of a region that are neither leaving nor suspect,
// without this one.
func (v *View) HealthyPeers(region string) []*Member {
	var able []*Member
	for _, m := range v.regionPeers[region] {
		if !m.Leaving() && !m.Suspect() {
			able = append(able, m)
		}
	}
	return able
}

// Cell returns the cell of a process of a region. All known processes count for the
// division into cells, including suspects and those that are leaving.
func (v *View) Cell(self, region string) Cell {
	peers := v.regionPeers[region] // in the order of compareByHash
	c := Cell{
		Count: CellCount(1 + len(peers)),
	}
	own := Self(self, "", 0)
	rank := 0
	for _, m := range peers {
		if compareByHash(m, own) < 0 {
			rank++
		}
	}
	c.Index = rank * c.Count / (1 + len(peers))
	for i, m := range peers {
		if i >= rank {
			i++ // this process comes before m in the order
		}
		if !m.Leaving() && !m.Suspect() && i*c.Count/(1+len(peers)) == c.Index {
			c.Peers = append(c.Peers, m)
		}
	}
	return c
}

// minHubPowerShare is the share of the greatest power that a process needs to be
// preferred as hub.
const minHubPowerShare = 0.7

// RankHub returns the first count processes for the hub's work, preferring those on the
// most powerful VMs: the hub receives every engine's heartbeat, and small VMs have a
// twentieth of the link and a fifth of the CPU of others.
func RankHub(members []*Member, count int) []*Member {
	maxPower := 0
	for _, m := range members {
		maxPower = max(maxPower, m.Power())
	}
	var strong, weak []*Member
	for _, m := range members {
		if float64(m.Power()) >= minHubPowerShare*float64(maxPower) {
			strong = append(strong, m)
		} else {
			weak = append(weak, m)
		}
	}
	ranked := Rank(Hub, strong, count)
	return append(ranked, Rank(Hub, weak, count-len(ranked))...)
}
