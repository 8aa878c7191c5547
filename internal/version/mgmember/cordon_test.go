package mgmember

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A zone is cordoned, and half a second later one of its engines is seen again or its
// list is sent once more: the engine gets work as if there were no cordon.
func TestCordonedUpstreamGetsWork(t *testing.T) {
	Convey("The upstreams of a cordoned availability zone", t, func() {
		upstream := func(name, zone string) mgplatform.VM {
			return mgplatform.VM{
				Name:     name,
				Kind:     mgplatform.UpstreamKind,
				Upstream: name,
				Zone:     zone,
				Services: []string{"reports"},
				State:    mgplatform.Live,
			}
		}
		m := New("entry-1")
		list := func(now mgclock.Millis, version uint64, cordoned ...string) {
			m.AdoptList(now, mgplatform.VMList{
				Version:  version,
				VMs:      []mgplatform.VM{upstream("a", "hall-1"), upstream("b", "hall-2")},
				Cordoned: cordoned,
			})
		}
		hosts := func() (names []string) {
			for _, member := range m.View().Hosts("reports") {
				names = append(names, member.Name())
			}
			return names
		}
		list(1000, 5, "hall-1")
		So(hosts(), ShouldResemble, []string{"b"})
		So(m.View().Cordoned()["hall-1"], ShouldEqual, 1000)
		Convey("get no work whatever is seen of them", func() {
			m.RecordMessage(1100, "a", "life", true)
			m.RecordMessage(1200, "a", "later life", false)
			m.RecordFailure(1300, "b")
			m.RecordFailure(1300, "b")
			So(hosts(), ShouldResemble, []string{"b"})
		})
		Convey("get no work because of an older list", func() {
			list(1100, 4)
			So(hosts(), ShouldResemble, []string{"b"})
		})
		Convey("keep the time of the first list that shows the cordon", func() {
			list(3000, 6, "hall-1")
			So(m.View().Cordoned()["hall-1"], ShouldEqual, 1000)
		})
		Convey("count as served even when all zones are cordoned", func() {
			list(1100, 6, "hall-1", "hall-2")
			So(hosts(), ShouldBeEmpty)
			So(m.View().HasUpstream(), ShouldBeTrue)
		})
		Convey("are used again once the cordon is lifted", func() {
			list(1100, 6)
			So(hosts(), ShouldResemble, []string{"a", "b"})
		})
	})
}

// An engine crashes while the platform is down and restarts cold. No list shows the
// restart, the engine looks like the emptiest of all, and the work that is sent there
// makes it crash again.
func TestRestartedUpstreamCountsAsWarm(t *testing.T) {
	const coldPeriod = 1000 * mgclock.Millis(1) // time for which engines are cold after a start
	Convey("An upstream is cold", t, func() {
		m := New("entry-1")
		list := func(now mgclock.Millis, version uint64, cold int64) {
			m.AdoptList(now, mgplatform.VMList{
				Version: version,
				VMs: []mgplatform.VM{
					{
						Name:       "a",
						Kind:       mgplatform.UpstreamKind,
						Upstream:   "a",
						Services:   []string{"reports"},
						State:      mgplatform.Live,
						ColdMillis: cold,
					},
				},
			})
		}
		cold := func(now mgclock.Millis) bool {
			member, _ := m.View().Member("a")
			return member.Cold(now, coldPeriod)
		}
		list(1000, 1, 700)
		Convey("for as long as the list says", func() {
			So(cold(1699), ShouldBeTrue)
			So(cold(1700), ShouldBeFalse)
			list(5000, 2, 400)
			So(cold(5399), ShouldBeTrue)
			So(cold(5400), ShouldBeFalse)
		})
		Convey("from its failure until the cold period after its next answer is over", func() {
			m.RecordFailure(10_000, "a")
			So(cold(10_000), ShouldBeFalse) // one lost answer is no evidence
			m.RecordFailure(10_100, "a")
			So(cold(10_100), ShouldBeTrue)
			m.Tick(20_000)
			So(cold(20_000), ShouldBeTrue)
			m.RecordAnswer(20_100, "a")
			So(cold(20_100+coldPeriod-1), ShouldBeTrue)
			So(cold(20_100+coldPeriod), ShouldBeFalse)
		})
		Convey("according to the list alone where its service has no cold period", func() {
			m.RecordFailure(10_000, "a")
			m.RecordFailure(10_100, "a")
			member, _ := m.View().Member("a")
			So(member.Cold(10_100, 0), ShouldBeFalse)
		})
	})
}
