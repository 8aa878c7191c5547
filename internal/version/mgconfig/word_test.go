package mgconfig

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// Two dozen entries each watch the list of VMs and the table, and the platform
// counts every call; or all but one stop watching, that one is cut off, and a
// leaving engine's reports are cut because nobody saw its notice.
func TestWord(t *testing.T) {
	Convey("A process of a region of six", t, func() {
		m, last := sixth()
		m.vms.heard = 0
		m.takeList(0, upstreamList(5, mgplatform.Live))
		m.vms.next, m.manifest.next = 100, 100
		list := m.members.View().Version()
		Convey("rests while another has the platform's word of the same list and table", func() {
			m.Take(1000, Word{List: list, Age: 60}, "entry-2")
			So(m.vms.next, ShouldEqual, 940+slowPause)
			So(m.Stale(940+quickStale-1), ShouldBeFalse)
			So(m.Stale(940+quickStale), ShouldBeTrue)
			So(m.manifest.next == 1000+slowPause, ShouldEqual, last)
		})
		Convey("watches as before where that one has", func() {
			for name, word := range map[string]Word{
				"another list":                 {List: list + 1, Age: 60},
				"an old word":                  {List: list, Age: wordAge + 1},
				"no word":                      {List: list, Age: -1},
				"another list and an old word": {List: list + 1, Age: wordAge + 1},
			} {
				Convey(name, func() {
					m.Take(1000, word, "entry-2")
					So(m.vms.next, ShouldEqual, 100)
				})
			}
			Convey("another table", func() {
				m.Take(1000, Word{List: list, Age: 60, Table: 7}, "entry-2")
				So(m.manifest.next, ShouldEqual, 100)
			})
		})
		Convey("isn't stale for a failed read of its own while it has another's word", func() {
			m.vms.failures = 1
			So(m.Stale(1000), ShouldBeTrue)
			m.Take(1000, Word{List: list, Age: 60}, "entry-2")
			So(m.Stale(1100), ShouldBeFalse)
			So(m.Stale(1000+wordAge), ShouldBeTrue)
		})
	})
	Convey("A hub that has the reader's word alone tells it on", t, func() {
		m, _ := sixth()
		m.takeList(0, upstreamList(5, mgplatform.Live))
		m.vms.answered = false
		So(m.Word(1000).Age, ShouldBeLessThan, 0)
		m.Take(1000, Word{List: m.members.View().Version(), Age: 60}, "entry-2")
		So(m.Word(1010).Age, ShouldEqual, 70)
	})
	Convey("Who has no word of the platform says so", t, func() {
		m, _ := alone()
		m.vms.answered = false
		So(m.Word(1000).Age, ShouldBeLessThan, 0)
		m.vms.answered = true
		m.vms.heard = 940
		So(m.Word(1000).Age, ShouldEqual, 60)
		m.vms.failures = 1
		So(m.Word(1000).Age, ShouldBeLessThan, 0)
	})
}

// sixth returns a process that knows five others of its region, and whether it
// ranks behind those that watch for versions of the table.
func sixth() (m *Machine, last bool) {
	names := []string{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6"}
	members := mgmember.New(names[0])
	m = NewMachine(0, MachineSpec{
		Name:   names[0],
		Region: "south",
		Quick:  60,
	}, members)
	for _, other := range names[1:] {
		members.Introduce(0, mgplatform.VM{
			Name:   other,
			Kind:   mgplatform.EntryKind,
			Addr:   other,
			Region: "south",
		})
	}
	return m, m.roles().rank >= keepers
}
