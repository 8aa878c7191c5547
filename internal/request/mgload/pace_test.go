package mgload

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against this failure: an engine becomes four times as slow. Only the few slow
// requests run there, so that it looks the least loaded and attracts the next ones, whose
// events come 200 ms apart.
func TestSlowEngineAttractsRequests(t *testing.T) {
	Convey("A pace", t, func() {
		var c Tracker
		for range 50 {
			c.RecordPace(0, "a", 8)
			c.RecordPace(0, "b", 9)
			c.RecordPace(0, "c", 8.5)
			c.RecordPace(0, "d", 32)
		}
		paces := c.Paces(0)
		So(paces["d"], ShouldAlmostEqual, 32, 0.1)
		slow := SlowPenalty([]float64{paces["a"], paces["b"], paces["c"], paces["d"]})
		Convey("that is far above the others' is slow", func() {
			So(slow(paces["d"]), ShouldBeBetween, 20, 25)
			So(slow(paces["b"]), ShouldEqual, 0)
		})
		Convey("that is high for one event is not", func() {
			c.RecordPace(10, "a", 30)
			So(slow(c.Paces(10)["a"]), ShouldEqual, 0)
		})
		Convey("expires, so that the engine is tried again", func() {
			So(c.Paces(paceTTL), ShouldBeEmpty)
		})
		Convey("is ignored where few are known", func() {
			So(SlowPenalty([]float64{8, 32})(32), ShouldEqual, 0)
		})
	})
}
