package mgnode

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgpeer"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// Guards against an agent that hands its engine's generations to an engine of another software
// version.
func TestGenerationHandedToOtherVersion(t *testing.T) {
	cases := []struct {
		name     string
		versions []string // of the agents a, b, c
		names    []string
	}{
		{
			name:     "the same version",
			versions: []string{"v1", "v1.1", "v1"},
			names:    []string{"c"},
		},
		{
			name:     "only other versions",
			versions: []string{"v1", "v1.1", ""},
		},
		{
			name:     "versions that aren't known",
			versions: []string{"", "", "v1"},
		},
	}
	Convey("The agents that take over generations of a's engine", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				n := &Node{
					settings: mgsettings.Process{
						Name:   "a",
						Region: "south",
					},
					members: mgmember.New("a"),
					guard:   mgpeer.NewWithoutKey(),
				}
				list := mgplatform.VMList{
					Version: 1,
				}
				for i, version := range c.versions {
					name := string(rune('a' + i))
					list.VMs = append(list.VMs, mgplatform.VM{
						Name:            name,
						Kind:            mgplatform.AgentKind,
						Addr:            "127.0.0.1:1",
						Region:          "south",
						Upstream:        "engine-" + name,
						Models:          []string{"tank"},
						State:           mgplatform.Live,
						SoftwareVersion: version,
					})
				}
				n.members.AdoptList(0, list)
				var names []string
				for _, other := range n.otherAgents("tank") {
					names = append(names, other.Name)
				}
				So(names, ShouldResemble, c.names)
			})
		}
	})
}
