package mgmember

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
)

// Three hundred entries tell one of them five times a second what they sent. It
// has no time for its own callers, and none of them gets an answer in time; or
// two entries count the cells differently and each waits for the other's hub.
func TestCells(t *testing.T) {
	Convey("A region divides as it grows", t, func() {
		for processes, cells := range map[int]uint64{1: 1, 24: 1, 40: 1, 41: 2, 100: 4, 120: 4, 300: 8, 360: 16} {
			So(Cells(processes), ShouldEqual, cells)
		}
	})
	Convey("Of 300 processes", t, func() {
		const count = 300
		members := func(self string) *Members {
			m := New(self)
			for n := range count {
				m.Introduce(0, mgplatform.VM{
					Name:   fmt.Sprint("entry-", n),
					Kind:   mgplatform.EntryKind,
					Addr:   "a",
					Region: "south",
				})
			}
			return m
		}
		sizes := map[uint64]int{}
		for n := range count {
			name := fmt.Sprint("entry-", n)
			sizes[CellOf(name, Cells(count))]++
		}
		Convey("each cell is of a size that one hub bears", func() {
			So(len(sizes), ShouldEqual, 8)
			for _, size := range sizes {
				So(size, ShouldBeBetween, cellSize/2, cellSize*3/2)
			}
		})
		Convey("those of a cell know one another, and nobody else counts", func() {
			one, cells := members("entry-1").View().Near("entry-1", "south")
			So(cells, ShouldEqual, 8)
			So(len(one)+1, ShouldEqual, sizes[CellOf("entry-1", cells)])
			for _, peer := range one {
				So(CellOf(peer.Name(), cells), ShouldEqual, CellOf("entry-1", cells))
			}
		})
	})
}

// The hub falls to an entry with a link of 10 Mbit/s while others have 200. Engines'
// heartbeats alone fill its link, and every generation of its cell waits for it.
func TestRankHub(t *testing.T) {
	Convey("The hub is one of the strongest", t, func() {
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
	Convey("Where nobody says, all are alike", t, func() {
		members := []*Member{Self("a", "a", 0), Self("b", "a", 0), Self("c", "a", 0)}
		So(RankHub(members, 3), ShouldResemble, Rank(Hub, members, 3))
	})
}
