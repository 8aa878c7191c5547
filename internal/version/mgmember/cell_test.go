package mgmember

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
)

// Three hundred entries send load reports to one hub five times a second, which leaves
// it no time for its own callers; or a cell has a third more entries than another, and
// its engines are full while the other's are not.
func TestCellsOfUnequalSize(t *testing.T) {
	Convey("A region divides as it grows", t, func() {
		for processes, cells := range map[int]int{1: 1, 24: 1, 40: 1, 41: 2, 100: 4, 120: 4, 300: 8, 360: 16} {
			So(CellCount(processes), ShouldEqual, cells)
		}
	})
	Convey("Of 300 processes", t, func() {
		const count = 300
		name := func(n int) string { return fmt.Sprint("entry-", n) }
		list := mgplatform.VMList{
			Version: 1,
		}
		for n := range count {
			list.VMs = append(list.VMs, mgplatform.VM{
				Name:   name(n),
				Kind:   mgplatform.EntryKind,
				Addr:   "a",
				Region: "south",
				State:  mgplatform.Live,
			})
		}
		views := map[string]*View{}
		for self := range count {
			if self%10 != 0 && self > 20 {
				continue
			}
			m := New(name(self))
			m.AdoptList(0, list)
			views[name(self)] = m.View()
		}
		Convey("cells are of equal size, and their members agree on them", func() {
			of := map[string]int{}
			for self, view := range views {
				c := view.Cell(self, "south")
				So(c.Count, ShouldEqual, 8)
				So(len(c.Peers)+1, ShouldBeBetweenOrEqual, count/8, count/8+1)
				of[self] = c.Index
			}
			for self, view := range views {
				for _, peer := range view.Cell(self, "south").Peers {
					if number, looked := of[peer.Name()]; looked {
						So(number, ShouldEqual, of[self])
					}
				}
			}
		})
		Convey("each cell has an equal part of the upstreams, and each upstream one cell", func() {
			var all []*Member
			for n := range 3000 {
				all = append(all, Self(fmt.Sprint("engine-", n), "a", 0))
			}
			seen := map[string]bool{}
			for cell := range 8 {
				part := CellPart(all, cell, 8)
				So(len(part), ShouldEqual, 375)
				for _, m := range part {
					seen[m.Name()] = true
				}
			}
			So(len(seen), ShouldEqual, 3000)
		})
	})
}

// An entry with a link of 10 Mbit/s becomes the hub while others have 200. Engines'
// heartbeats alone fill its link, and every generation of its cell waits for it.
func TestWeakProcessBecomesHub(t *testing.T) {
	Convey("The hub is one of the most powerful processes", t, func() {
		var members []*Member
		for n, power := range []int{100, 800, 144, 700, 300} {
			members = append(members, Self(fmt.Sprint("entry-", n), "a", power))
		}
		ranked := RankHub(members, len(members))
		So(len(ranked), ShouldEqual, len(members))
		So(ranked[0].Power(), ShouldBeGreaterThanOrEqualTo, 700)
		So(ranked[1].Power(), ShouldBeGreaterThanOrEqualTo, 700)
		So(RankHub(members, 1)[0], ShouldEqual, ranked[0])
	})
	Convey("Where no power is known, all processes rank alike", t, func() {
		members := []*Member{Self("a", "a", 0), Self("b", "a", 0), Self("c", "a", 0)}
		So(RankHub(members, 3), ShouldResemble, Rank(Hub, members, 3))
	})
}
