package mgconfig

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// snapshotOf returns a version of the table with an edit.
func snapshotOf(version uint64, edit int) *Snapshot {
	table, err := mgtable.Parse(tableText(version, edit))
	So(err, ShouldBeNil)
	manifest, _, err := table.Pages(1 << 20)
	So(err, ShouldBeNil)
	return &Snapshot{
		table:    table,
		digest:   manifest.Digest().String(),
		manifest: manifest.Bytes(),
	}
}

// An operator edits a weight, forgets to raise the version, and the fleet goes on
// by the old weight: of two tables under one version all keep the same one. The
// dump and the log must say so.
func TestVersionNotRaised(t *testing.T) {
	Convey("Another table under the version in force", t, func() {
		first, second := snapshotOf(5, 0), snapshotOf(5, 1)
		if second.mark().above(first.mark()) {
			first, second = second, first
		}
		m := NewMachine(0, MachineSpec{Name: "a"}, mgmember.New("a"))
		m.current.Store(first)
		Convey("is refused with its remedy, and nothing else changes", func() {
			m.takeManifest(1, second.manifest)
			version, err := m.Refused()
			So(version, ShouldEqual, 5)
			So(err, ShouldEqual, errTwice)
			So(m.Current(), ShouldEqual, first)
			So(m.pull, ShouldBeNil)
		})
		Convey("is no reason to refuse the one in force, or an older one", func() {
			m.takeManifest(1, first.manifest)
			m.takeManifest(1, snapshotOf(4, 1).manifest)
			_, err := m.Refused()
			So(err, ShouldBeNil)
		})
	})
}
