package mgmember

import (
	"cmp"
	"slices"
)

// cellSize is the most processes that share one hub. A hub sums what each tells it
// five times a second: with a few hundred its processor and its link are taken up by
// that, and its answers come late.
const maxCellSize = 40

// Cells returns into how many cells a number of processes divides: a power of two,
// so that processes that count a few more or fewer mostly agree.
func Cells(processes int) int {
	cells := 1
	for processes > maxCellSize*cells {
		cells *= 2
	}
	return cells
}

// byHash orders members by a hash of their names. Cells are equal runs of this
// order: who comes or goes moves the borders between them by one, and no cell has
// more processes, or fewer upstreams, than another. Cells by the hash itself differ
// by a third among 300 processes, and full engines bear no such part more.
func compareByHash(a, b *Member) int {
	if c := cmp.Compare(a.nameHash, b.nameHash); c != 0 {
		return c
	}
	return cmp.Compare(a.Name(), b.Name())
}

// Part returns a cell's part of some upstreams.
func Part(all []*Member, cell, cells int) []*Member {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, compareByHash)
	return sorted[cell*len(sorted)/cells : (cell+1)*len(sorted)/cells]
}

// A Cell is the part of a region's processes that share a hub.
type Cell struct {
	Peers  []*Member // that are known and well, without this process
	Number int       // from 0
	Of     int       // cells in the region
}

// HealthyPeers returns the processes of a region that are known and well, without this one.
func (v *View) HealthyPeers(region string) []*Member {
	var able []*Member
	for _, m := range v.regionPeers[region] {
		if !m.Leaving() && !m.Suspect() {
			able = append(able, m)
		}
	}
	return able
}

// Cell returns the cell of a process of a region. All that are known make the
// cells, suspects and those that leave, too.
func (v *View) Cell(self, region string) Cell {
	peers := v.regionPeers[region] // by hash
	c := Cell{
		Of: Cells(1 + len(peers)),
	}
	own := Self(self, "", 0)
	rank := 0
	for _, m := range peers {
		if compareByHash(m, own) < 0 {
			rank++
		}
	}
	c.Number = rank * c.Of / (1 + len(peers))
	for i, m := range peers {
		if i >= rank {
			i++ // this process comes before
		}
		if !m.Leaving() && !m.Suspect() && i*c.Of/(1+len(peers)) == c.Number {
			c.Peers = append(c.Peers, m)
		}
	}
	return c
}

// strongPart is the part of the greatest power from which on a process may be hub.
const minHubPowerShare = 0.7

// RankHub returns the first count processes for the hub's work, of those whose VMs
// bear the most: the hub hears each engine's heartbeat, and thin VMs have a
// twentieth of the link and a fifth of the processor of others.
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
