package mgmember_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// The platform is restored from an older copy, and its list brings back an upstream
// that is leaving or has left.
func TestRestoredListBringsBackDepartedUpstream(t *testing.T) {
	list := func(version, era uint64, born int64, states ...string) mgplatform.VMList {
		l := mgplatform.VMList{
			Version: version,
			Era:     era,
		}
		for i, state := range states {
			if state == "" {
				continue
			}
			name := string(rune('a' + i))
			l.VMs = append(l.VMs, mgplatform.VM{
				Name:             name,
				Kind:             mgplatform.UpstreamKind,
				Upstream:         name,
				State:            state,
				IncarnationStart: born,
			})
		}
		return l
	}
	// working returns the upstreams that get work.
	working := func(m *mgmember.Members) string {
		text := ""
		for _, member := range m.View().All() {
			if member.Listed() && !member.Leaving() {
				text += member.Name()
			}
		}
		return text
	}
	const live, leaving, absent = mgplatform.Live, mgplatform.Leaving, ""
	for _, born := range []int64{0, 7} {
		Convey("After a leaves, b has left and c came", t, func() {
			var m mgmember.Members
			m.AdoptList(0, list(1, 1, born, live, live, absent))
			m.AdoptList(1000, list(2, 1, born, leaving, absent, live))
			So(working(&m), ShouldEqual, "c")
			Convey("a restored copy doesn't bring a and b back", func() {
				m.AdoptList(2000, list(3, 2, born, live, live, live))
				So(working(&m), ShouldEqual, "c")
				Convey("nor do the lists that follow it, for a", func() {
					m.AdoptList(2500, list(4, 2, born, live, live, live))
					So(working(&m), ShouldEqual, "c")
					m.Tick(2000 + 10*mgclock.Second)
					So(working(&m), ShouldEqual, "bc")
				})
				Convey("nor does another restored copy", func() {
					m.AdoptList(2500, list(5, 3, born, live, live, live))
					So(working(&m), ShouldEqual, "c")
				})
				Convey("a later incarnation comes back at once", func() {
					m.AdoptList(2500, list(4, 2, born+1, live, live, live))
					So(working(&m), ShouldEqual, "abc")
				})
				Convey("b stays away after its own announcement", func() {
					m.RecordDeparture(2500, m.CurrentDeparture("b"))
					m.Tick(2000 + 10*mgclock.Second)
					So(working(&m), ShouldEqual, "c")
				})
			})
			Convey("a list of the same era is applied as it is", func() {
				m.AdoptList(2000, list(3, 1, born, live, live, live))
				So(working(&m), ShouldEqual, "abc")
			})
			Convey("a list from before the restore is old", func() {
				m.AdoptList(2000, list(3, 2, born, leaving, absent, live))
				So(m.AdoptList(2100, list(2, 1, born, live, live, live)), ShouldBeFalse)
			})
		})
	}
}
