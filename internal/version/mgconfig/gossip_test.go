package mgconfig

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// Reports of a calm day begin 8 s late from half a minute after the start on, while
// half of the engines have nothing to do. The platform lists no entries; each entry
// forgets those that it hasn't heard for 30 s, and an exchange with one of a hundred
// each two seconds hears few. Those that know fewer make fewer cells, and two of four
// hubs are asked by all.
func TestUnlistedEntriesForgetEachOther(t *testing.T) {
	Convey("A hundred entries that the platform doesn't list, and a list that doesn't change", t, func() {
		const count = 100
		f := newListening(3, count)
		f.startAll()
		for at := 12 * sec; at <= 75*sec; at += 9 * sec {
			f.net.Run(at)
			minKnown, cells := count, map[int]int{}
			for _, n := range f.nodes {
				cell := n.members.View().Cell(n.name, "")
				cells[cell.Of]++
				minKnown = min(minKnown, 1+len(n.members.View().Able("")))
			}
			t.Logf("at %d ms: each knows %d of %d at least; entries by the cells that they see: %v", at, minKnown, count, cells)
			So(minKnown, ShouldBeGreaterThanOrEqualTo, count-1)
			So(cells[mgmember.Cells(count)], ShouldEqual, count)
		}
		Convey("forget one that died, and the dead are not kept by word of mouth", func() {
			dead := f.nodes[50].name
			f.kill(dead)
			f.net.Run(f.net.Now() + 60*sec)
			for _, n := range f.nodes {
				if n.name == dead {
					continue
				}
				_, known := n.members.View().Member(dead)
				So(known, ShouldBeFalse)
			}
		})
	})
}
