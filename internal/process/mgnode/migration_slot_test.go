package mgnode

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// aware is an entry that knows another one.
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

// Five reports are cut though their engine gave notice for two seconds. The entry
// that gave the turns was stopping: its peers took another for it, and it went on
// to give its own requests turns itself. Four copies shared the engine's link, and
// none was done when the engine went.
func TestStoppingEntryGrantsMigrationSlots(t *testing.T) {
	Convey("An entry that stops asks another for turns and places", t, func() {
		a, b := nodeKnowing("entry-a", "entry-b"), nodeKnowing("entry-b", "entry-a")
		home, other := a, b
		if a.migrationCoordinator("llm") != nil {
			home, other = b, a
		}
		So(home.migrationCoordinator("llm"), ShouldBeNil)
		So(other.migrationCoordinator("llm").Name(), ShouldEqual, home.settings.Name)
		home.leaving.Store(true)
		So(home.migrationCoordinator("llm").Name(), ShouldEqual, other.settings.Name)
		So(home.hubPeer().Name(), ShouldEqual, other.settings.Name)
		Convey("and serves itself where it is alone", func() {
			home.members = mgmember.New(home.settings.Name)
			So(home.migrationCoordinator("llm"), ShouldBeNil)
			So(home.hubPeer(), ShouldBeNil)
		})
	})
}
