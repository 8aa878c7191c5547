package mgconfig

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// newSnapshot returns a version of the table with an edit.
func newSnapshot(version uint64, edit int) *Snapshot {
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

// An operator edits a weight without raising the version, and the fleet keeps the old
// weight: of two tables under one version all keep the same one. The debug dump and the
// log must say so.
func TestVersionReused(t *testing.T) {
	Convey("Another table under the version in force", t, func() {
		first, second := newSnapshot(5, 0), newSnapshot(5, 1)
		if second.key().isAfter(first.key()) {
			first, second = second, first
		}
		m := NewMachine(0, MachineSpec{Name: "a"}, mgmember.New("a"))
		m.current.Store(first)
		Convey("is rejected with a remedy, and nothing else changes", func() {
			m.applyManifest(1, second.manifest)
			version, err := m.LastRejection()
			So(version, ShouldEqual, 5)
			So(err, ShouldEqual, errVersionReused)
			So(m.Current(), ShouldEqual, first)
			So(m.pull, ShouldBeNil)
		})
		Convey("doesn't make the one in force, or an older one, be rejected", func() {
			m.applyManifest(1, first.manifest)
			m.applyManifest(1, newSnapshot(4, 1).manifest)
			_, err := m.LastRejection()
			So(err, ShouldBeNil)
		})
	})
}
