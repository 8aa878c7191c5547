package mgmember

import "github.com/cespare/xxhash/v2"

// cellSize is the most processes that share one hub, as far as hashing spreads
// them evenly. A hub sums what each tells it five times a second: with 24 the
// busiest entry took 0.5 % of a core, with 300 it took 67 % of its processor and
// moved 0.7 MB a second, and answers came late.
const cellSize = 40

// Cells returns into how many cells a number of processes divides: a power of two,
// so that processes that count a few more or fewer mostly agree.
func Cells(processes int) uint64 {
	cells := uint64(1)
	for processes > cellSize*int(cells) {
		cells *= 2
	}
	return cells
}

// CellOf returns the cell of a process or an upstream by its name.
func CellOf(name string, cells uint64) uint64 {
	if cells <= 1 {
		return 0
	}
	return xxhash.Sum64String(name) % cells
}

// Near returns the other processes of a region that are in one's cell, and the
// number of cells. All that are known count for that; suspects and those that
// leave are left out of the result.
func (v *View) Near(self, region string) (peers []*Member, cells uint64) {
	cells = Cells(1 + len(v.near[region]))
	own := CellOf(self, cells)
	for _, m := range v.near[region] {
		if m.Name() != self && !m.Leaving() && !m.Suspect() && CellOf(m.Name(), cells) == own {
			peers = append(peers, m)
		}
	}
	return peers, cells
}

// strongPart is the part of the greatest power from which on a process may be hub.
const strongPart = 0.7

// RankHub returns the first count processes for the hub's work, of those whose VMs
// bear the most: the hub hears each engine's heartbeat, and thin VMs have a
// twentieth of the link and a fifth of the processor of others.
func RankHub(members []*Member, count int) []*Member {
	most := 0
	for _, m := range members {
		most = max(most, m.Power())
	}
	var strong, weak []*Member
	for _, m := range members {
		if float64(m.Power()) >= strongPart*float64(most) {
			strong = append(strong, m)
		} else {
			weak = append(weak, m)
		}
	}
	ranked := Rank(Hub, strong, count)
	return append(ranked, Rank(Hub, weak, count-len(ranked))...)
}
