package mgmember_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A list shows an upstream as live that has announced that it is leaving, and the
// upstream gets work again.
func TestListBringsBackDepartedUpstream(t *testing.T) {
	row := func(born int64) []mgplatform.VM {
		return []mgplatform.VM{{
			Name:             "engine-1",
			Kind:             mgplatform.UpstreamKind,
			Addr:             "10.0.0.1:80",
			Upstream:         "engine-1",
			Services:         []string{"report"},
			State:            mgplatform.Live,
			IncarnationStart: born,
		}}
	}
	list := func(version uint64, vms []mgplatform.VM) mgplatform.VMList {
		return mgplatform.VMList{
			Version: version,
			VMs:     vms,
		}
	}
	departure := mgmember.Departure{
		Upstream:  "engine-1",
		StartedAt: 7,
	}
	cases := []struct {
		name  string
		after func(m *mgmember.Members)
		used  bool
	}{
		{
			name:  "and nothing follows",
			after: func(*mgmember.Members) {},
		},
		{
			name: "and a newer list shows the same incarnation",
			after: func(m *mgmember.Members) {
				m.AdoptList(200, list(2, row(7)))
			},
		},
		{
			name: "and it is missing from a list and back in the next",
			after: func(m *mgmember.Members) {
				m.AdoptList(200, list(2, nil))
				m.AdoptList(300, list(3, row(7)))
			},
		},
		{
			name: "and the platform doesn't answer for minutes",
			after: func(m *mgmember.Members) {
				for at := mgclock.Second; at < 10*mgclock.Minute; at += mgclock.Second {
					m.Tick(at)
				}
			},
		},
		{
			name: "and it restarts under its name",
			after: func(m *mgmember.Members) {
				m.AdoptList(200, list(2, row(8)))
			},
			used: true,
		},
		{
			name: "and restarts, and a late departure of its last incarnation arrives",
			after: func(m *mgmember.Members) {
				m.AdoptList(200, list(2, row(8)))
				So(m.RecordDeparture(300, m.ParseDeparture("engine-1 7")), ShouldBeFalse)
			},
			used: true,
		},
		{
			name: "and restarts, and leaves again",
			after: func(m *mgmember.Members) {
				m.AdoptList(200, list(2, row(8)))
				m.RecordDeparture(300, m.ParseDeparture("engine-1"))
			},
		},
		{
			name: "and others fail and answer",
			after: func(m *mgmember.Members) {
				m.RecordFailure(200, "engine-1")
				m.RecordFailure(201, "engine-1")
				m.RecordAnswer(300, "engine-1")
			},
		},
	}
	Convey("An upstream has announced that it is leaving,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m := mgmember.New("entry")
				m.AdoptList(0, list(1, row(7)))
				So(len(m.View().Hosts("report")), ShouldEqual, 1)
				So(m.RecordDeparture(100, m.CurrentDeparture("engine-1")), ShouldBeTrue)
				So(m.RecordDeparture(100, m.CurrentDeparture("engine-1")), ShouldBeFalse)
				c.after(m)
				So(len(m.View().Hosts("report")) == 1, ShouldEqual, c.used)
			})
		}
		Convey("before any list names it", func() {
			m := mgmember.New("entry")
			m.RecordDeparture(100, departure)
			m.AdoptList(200, list(1, row(7)))
			So(m.View().Hosts("report"), ShouldBeEmpty)
		})
		Convey("and is forgotten once it has long been gone", func() {
			m := mgmember.New("entry")
			m.AdoptList(0, list(1, row(7)))
			m.RecordDeparture(100, m.CurrentDeparture("engine-1"))
			m.AdoptList(200, list(2, nil))
			m.Tick(3 * mgclock.Minute)
			So(m.RecordDeparture(4*mgclock.Minute, departure), ShouldBeTrue)
		})
	})
}
