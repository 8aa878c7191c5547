package mgnode

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// nodeKnowing returns an entry that knows one peer.
func nodeKnowing(name, peer string) *Node {
	n := &Node{
		members: mgmember.New(name),
	}
	n.settings.Name = name
	n.settings.Region = "r"
	n.members.Introduce(0, mgplatform.VM{
		Name:   peer,
		Kind:   mgplatform.EntryKind,
		Addr:   "10.0.0.1:1",
		Zone:   "z",
		Region: "r",
		State:  mgplatform.Live,
	})
	return n
}

// Guards against a stopping entry that grants migration slots. When this fault occurred, five
// generations were cut off though their engine gave two seconds' notice. The coordinator was
// stopping: its peers chose another, while it still granted slots to its own requests. Four copies
// shared the engine's link, and none was complete when the engine went.
func TestStoppingEntryGrantsMigrationSlots(t *testing.T) {
	Convey("An entry that is stopping asks another for migration slots and placements", t, func() {
		a, b := nodeKnowing("entry-a", "entry-b"), nodeKnowing("entry-b", "entry-a")
		coordinator, other := a, b
		if a.migrationCoordinator("llm") != nil {
			coordinator, other = b, a
		}
		So(coordinator.migrationCoordinator("llm"), ShouldBeNil)
		So(other.migrationCoordinator("llm").Name(), ShouldEqual, coordinator.settings.Name)
		coordinator.leaving.Store(true)
		So(coordinator.migrationCoordinator("llm").Name(), ShouldEqual, other.settings.Name)
		So(coordinator.hubPeer().Name(), ShouldEqual, other.settings.Name)
		Convey("and grants them itself if it is alone", func() {
			coordinator.members = mgmember.New(coordinator.settings.Name)
			So(coordinator.migrationCoordinator("llm"), ShouldBeNil)
			So(coordinator.hubPeer(), ShouldBeNil)
		})
	})
}
