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
