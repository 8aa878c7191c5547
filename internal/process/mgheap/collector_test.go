package mgheap

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a process that stays large after an overload, or that grows without knowing its limit.
func TestCollectionsStayRare(t *testing.T) {
	for _, c := range []struct {
		name            string
		memory          int64
		during, after   int
		limitDuringLoad int64
	}{
		{
			name:            "on a VM with 100 MB",
			memory:          100e6,
			during:          relaxedPercent,
			after:           50,
			limitDuringLoad: 60e6,
		},
		{
			name:   "on a VM whose memory isn't known",
			during: 50,
			after:  50,
		},
	} {
		Convey("A process "+c.name, t, func() {
			percent, limit := 50, int64(0)
			collector := New(c.memory)
			collector.setPercent = func(to int) int {
				before := percent
				percent = to
				return before
			}
			collector.setLimit = func(to int64) int64 {
				limit = to
				return 0
			}
			collector.Tick(0)
			So(percent, ShouldEqual, 50)
			collector.ReportOverload(1000)
			collector.ReportOverload(5000)
			collector.Tick(5000 + relaxedTime - 1)
			So(percent, ShouldEqual, c.during)
			So(limit, ShouldEqual, c.limitDuringLoad)
			collector.Tick(5000 + relaxedTime)
			So(percent, ShouldEqual, c.after)
		})
	}
	Convey("A process in calm knows its limit", t, func() {
		limit := int64(0)
		collector := New(100e6)
		collector.setLimit = func(to int64) int64 {
			limit = to
			return 0
		}
		collector.LimitMemory()
		So(limit, ShouldEqual, 60e6)
	})
	Convey("The zero collector changes nothing", t, func() {
		var collector Collector
		collector.LimitMemory()
		collector.ReportOverload(1)
		collector.Tick(1 + relaxedTime)
		So(collector.isRelaxed, ShouldBeFalse)
	})
}
