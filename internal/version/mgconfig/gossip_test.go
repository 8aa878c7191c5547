package mgconfig

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// Guards against requests that start 8 s late at low load, from half a minute after the
// start, while half of the engines are idle. The platform lists no entries; each entry
// forgets those that it hasn't seen for 30 s, and exchanges with one of a hundred every
// two seconds reach few. Entries that know fewer compute fewer cells, so all use two of
// four hubs.
func TestUnlistedEntriesForgetEachOther(t *testing.T) {
	Convey("A hundred entries that the platform doesn't list, and a list that doesn't change", t, func() {
		const count = 100
		f := newLongPollFleet(3, count)
		f.startAll()
		for at := 12 * sec; at <= 75*sec; at += 9 * sec {
			f.net.Run(at)
			minKnown, cells := count, map[int]int{}
			for _, n := range f.nodes {
				cell := n.members.View().Cell(n.name, "")
				cells[cell.Count]++
				minKnown = min(minKnown, 1+len(n.members.View().HealthyPeers("")))
			}
			t.Logf("at %d ms: each knows at least %d of %d; entries by the number of cells that they compute: %v", at, minKnown, count, cells)
			So(minKnown, ShouldBeGreaterThanOrEqualTo, count-1)
			So(cells[mgmember.CellCount(count)], ShouldEqual, count)
		}
		Convey("forget one that died, although others still have records of it", func() {
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
