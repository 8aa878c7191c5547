package mgconfig

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// All entries restart at once, with ten engines for each entry, and callers are refused
// for seconds: each entry reads the list itself, in sixty pages for 3,000 engines, the
// platform rate-limits most of the reads, and the entries start over.
func TestMassRestartOverloadsPlatform(t *testing.T) {
	const (
		maxDelay        = 1500 * mgclock.Millis(1) // of the two seconds within which callers must be served again
		enginesPerEntry = 10
	)
	for _, c := range []struct {
		count int
		seeds bool // the configured peers answer
	}{
		{
			count: 30,
			seeds: true,
		},
		{
			count: 100,
			seeds: true,
		},
		{
			count: 300,
			seeds: true,
		},
		{
			count: 100,
		},
	} {
		t.Run(fmt.Sprintf("%d entries, configured peers answer: %v", c.count, c.seeds), func(t *testing.T) {
			t.Parallel()
			Convey("All processes that start at once have a list soon", t, func() {
				f := newLongPollFleet(uint64(c.count), c.count)
				f.upstreams = enginesPerEntry * c.count
				f.putList(0)
				if !c.seeds {
					for _, name := range f.seeds() {
						f.dead[name] = true
					}
				}
				began := f.net.Now()
				for i, n := range f.nodes {
					if !f.dead[n.name] {
						f.startNode(i)
					}
				}
				delays := map[string]mgclock.Millis{}
				for f.net.Now() < began+10*sec {
					f.net.Run(f.net.Now() + 10)
					for _, n := range f.nodes {
						if n.members == nil || f.dead[n.name] {
							continue
						}
						if _, known := delays[n.name]; !known && n.members.View().Version() > 0 && n.machine.Ready(f.net.Now()) {
							delays[n.name] = f.net.Now() - began
						}
					}
				}
				var all []mgclock.Millis
				for _, n := range f.nodes {
					if f.dead[n.name] {
						continue
					}
					if _, known := delays[n.name]; !known {
						delays[n.name] = never
					}
					all = append(all, delays[n.name])
				}
				slices.Sort(all)
				t.Logf("a list after %d ms (median) and %d ms (maximum); %d reads of the platform",
					all[len(all)/2], all[len(all)-1], f.readsSince(0))
				if !c.seeds {
					So(all[len(all)-1], ShouldBeLessThanOrEqualTo, exchangeTimeout+maxDelay) // until a dead peer times out
					return
				}
				So(all[len(all)-1], ShouldBeLessThanOrEqualTo, maxDelay)
				So(f.platform.peak(0), ShouldBeLessThan, listPageRate)
			})
		})
	}
}

// A third of 200 entries loses power, among them the reader of the list of 3,000
// engines and hubs of cells. Each of the others reads the whole list itself: the
// platform rate-limits them, their links are full for seconds, and callers' streams
// pause.
func TestListDelayedWhenThirdDies(t *testing.T) {
	t.Parallel()
	Convey("After a third of the entries has died, the others", t, func() {
		const count = 200
		f := newLongPollFleet(2, count)
		f.upstreams = 3000
		f.listedUpstreams = longListRows // only the number of pages matters
		f.putList(0)
		f.startAll()
		f.net.Run(15 * sec)
		f.kill(f.reader())
		for i, n := range f.nodes {
			if i%3 == 0 && !f.dead[n.name] {
				f.kill(n.name)
			}
		}
		from := f.net.Now() + sec
		before := f.readsSince(0)
		f.net.Run(f.net.Now() + 500)
		delay := f.timeUntilKnown(1, 1)
		f.net.Run(f.net.Now() + 4*sec)
		t.Logf("the next change was known everywhere after %d ms; %d reads of the platform", delay, f.readsSince(0)-before)
		Convey("learn of the next change soon", func() {
			So(delay, ShouldBeLessThanOrEqualTo, 2000)
		})
		Convey("leave the list to the watchers of their cells, which may read it twice", func() {
			So(f.platform.peak(from), ShouldBeLessThan, listPageRate)
			So(f.readsSince(0)-before, ShouldBeLessThan, 2*watchersPerCell*mgmember.CellCount(count)*f.upstreams/listPageRows)
		})
	})
}
