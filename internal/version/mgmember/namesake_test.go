package mgmember_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against a process that the others take for an upstream, because the list has an upstream of its name.
func TestUpstreamNamedAsProcessHidesIt(t *testing.T) {
	row := func(name, state string) mgplatform.VM {
		return mgplatform.VM{
			Name:             name,
			Kind:             mgplatform.UpstreamKind,
			Addr:             "10.0.0.9:80",
			Zone:             "z",
			Region:           "r",
			Upstream:         name,
			Services:         []string{"s"},
			State:            state,
			IncarnationStart: 7,
		}
	}
	process := mgplatform.VM{
		Name:   "front-2",
		Kind:   mgplatform.EntryKind,
		Addr:   "10.0.0.2:80",
		Zone:   "z",
		Region: "r",
	}
	Convey("When the list has upstreams that are named as processes", t, func() {
		m := mgmember.New("front-1")
		now := mgclock.Millis(1000)
		adopt := func(version uint64) {
			m.AdoptList(now, mgplatform.VMList{
				Version: version,
				VMs: []mgplatform.VM{
					row("front-1", mgplatform.Leaving),
					row("front-2", mgplatform.Leaving),
					row("i-1", mgplatform.Live),
				},
			})
		}
		check := func() {
			view := m.View()
			So(view.Peers(), ShouldHaveLength, 1)
			So(view.Peers()[0].PeerAddr(), ShouldEqual, "10.0.0.2:80")
			So(view.Peers()[0].Leaving(), ShouldBeFalse)
			So(view.OtherEntryCount(), ShouldEqual, 1)
			So(view.Hosts("s"), ShouldHaveLength, 1)
			_, isListed := view.Member("front-1")
			So(isListed, ShouldBeFalse)
		}
		Convey("a process that is known stays one", func() {
			m.Introduce(now, process)
			adopt(1)
			check()
			Convey("with each list", func() {
				adopt(2)
				check()
			})
			Convey("until it is gone", func() {
				now += mgclock.Minute
				m.Tick(now)
				adopt(2)
				So(m.View().Peers(), ShouldBeEmpty)
			})
		})
		Convey("a process that is met later is one", func() {
			adopt(1)
			m.Introduce(now, process)
			check()
		})
		Convey("a process that another one names is one", func() {
			adopt(1)
			m.MergeGossip(now, []mgmember.Gossip{{
				Name:   process.Name,
				Addr:   process.Addr,
				Zone:   process.Zone,
				Region: process.Region,
			}})
			check()
		})
	})
}
