package mgconfig

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// Guards against two faults. If two dozen entries each watch the list of VMs and the
// table, the platform counts every call. If all but one stop watching and that one is
// cut off, the requests that run on a leaving engine are cut off, because no entry saw
// its notice.
func TestWatchesNotShared(t *testing.T) {
	Convey("A process of a region of six", t, func() {
		m, behindWatchers := machineWithFivePeers()
		m.listKeyState.confirmedAt = 0
		m.adoptList(0, upstreamList(5, mgplatform.Live))
		m.listKeyState.next, m.manifestKeyState.next = 100, 100
		list := m.members.View().Version()
		Convey("postpones its watches while another has a fresh confirmation of the same list and table", func() {
			m.ApplyReport(1000, VersionReport{List: list, Age: 60}, "entry-2")
			So(m.listKeyState.next, ShouldEqual, 940+slowWatchInterval)
			So(m.IsListStale(940+quickStaleTimeout-1), ShouldBeFalse)
			So(m.IsListStale(940+quickStaleTimeout), ShouldBeTrue)
			So(m.manifestKeyState.next == 1000+slowWatchInterval, ShouldEqual, behindWatchers)
		})
		Convey("doesn't postpone its watches where the other one reports", func() {
			for name, report := range map[string]VersionReport{
				"another list":                         {List: list + 1, Age: 60},
				"an old confirmation":                  {List: list, Age: maxReportAge + 1},
				"no confirmation":                      {List: list, Age: -1},
				"another list and an old confirmation": {List: list + 1, Age: maxReportAge + 1},
			} {
				Convey(name, func() {
					m.ApplyReport(1000, report, "entry-2")
					So(m.listKeyState.next, ShouldEqual, 100)
				})
			}
			Convey("another table", func() {
				m.ApplyReport(1000, VersionReport{List: list, Age: 60, Table: 7}, "entry-2")
				So(m.manifestKeyState.next, ShouldEqual, 100)
			})
		})
		Convey("isn't stale after a failed read while it has another's fresh report", func() {
			m.listKeyState.failures = 1
			So(m.IsListStale(1000), ShouldBeTrue)
			m.ApplyReport(1000, VersionReport{List: list, Age: 60}, "entry-2")
			So(m.IsListStale(1100), ShouldBeFalse)
			So(m.IsListStale(1000+maxReportAge), ShouldBeTrue)
		})
	})
	Convey("A hub that has only the reader's report forwards its age", t, func() {
		m, _ := machineWithFivePeers()
		m.adoptList(0, upstreamList(5, mgplatform.Live))
		m.listKeyState.hasAnswered = false
		So(m.Report(1000).Age, ShouldBeLessThan, 0)
		m.ApplyReport(1000, VersionReport{List: m.members.View().Version(), Age: 60}, "entry-2")
		So(m.Report(1010).Age, ShouldEqual, 70)
	})
	Convey("A process without a confirmation by the platform reports that", t, func() {
		m, _ := machineWithoutPeers()
		m.listKeyState.hasAnswered = false
		So(m.Report(1000).Age, ShouldBeLessThan, 0)
		m.listKeyState.hasAnswered = true
		m.listKeyState.confirmedAt = 940
		So(m.Report(1000).Age, ShouldEqual, 60)
		m.listKeyState.failures = 1
		So(m.Report(1000).Age, ShouldBeLessThan, 0)
	})
}

// machineWithFivePeers returns a process that knows five others of its region, and
// whether it ranks below the first watchersPerCell, which watch for versions of the
// table.
func machineWithFivePeers() (m *Machine, ranksBelowWatchers bool) {
	names := []string{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6"}
	members := mgmember.New(names[0])
	m = NewMachine(0, MachineSpec{
		Name:          names[0],
		Region:        "south",
		QuickInterval: 60,
	}, members)
	for _, other := range names[1:] {
		members.Introduce(0, mgplatform.VM{
			Name:   other,
			Kind:   mgplatform.EntryKind,
			Addr:   other,
			Region: "south",
		})
	}
	return m, m.roles().rank >= watchersPerCell
}
