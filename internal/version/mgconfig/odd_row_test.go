package mgconfig

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against a list of VMs that no process follows any more because of one row.
func TestOddRowStopsList(t *testing.T) {
	for _, count := range []int{2, 30} {
		Convey(fmt.Sprintf("A list with an odd row is in use in time, %d processes", count), t, func() {
			f := newFleet(1, count, 0)
			f.publish(1, 1)
			f.startAll()
			f.net.Run(30 * mgclock.Second)
			list, err := mgplatform.ReadList(f.platform.values[mgplatform.ListKey].Bytes())
			So(err, ShouldBeNil)
			list.Cordoned = []string{zoneOf(0)}
			for range 3 {
				list.Version++
				data, err := json.Marshal(list)
				So(err, ShouldBeNil)
				odd := strings.Replace(string(data), `"vms":[`, `"vms":[{"name":"odd","addr":"10.0.0.9:80","cold":1e30},`, 1)
				f.platform.put(mgplatform.ListKey, []byte(odd))
				f.net.Run(f.net.Now() + listChangeDelay)
				So(f.countOutdated(list.Version), ShouldEqual, 0)
			}
			_, err = f.nodes[0].machine.LastRejection()
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "can't be read: 1")
		})
	}
}
