package mgpace_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgpace"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A returned engine is the least loaded, is assigned every request of the minute
// and answers none of them in time.
func TestRamp(t *testing.T) {
	Convey("A returned engine", t, func() {
		var r mgpace.Ramp
		r.Start(1000)
		So(r.Limit(1000, 64), ShouldEqual, 6)
		So(r.Limit(1000+mgpace.WarmUpTime/2, 64), ShouldBeBetween, 30, 40)
		So(r.Limit(1000+mgpace.WarmUpTime, 64), ShouldEqual, 64)
		Convey("takes less after trouble, and one answer at least", func() {
			before := r.Share(1000 + mgpace.WarmUpTime/2)
			r.Halve(1000 + mgpace.WarmUpTime/2)
			So(r.Share(1000+mgpace.WarmUpTime/2), ShouldBeLessThan, before)
			So(r.Limit(0, 2), ShouldEqual, 1)
		})
	})
}

// An engine is reclaimed with half a minute's notice. Short streams are cut
// although they would have ended in time, and a long one ends without a report
// to its caller.
func TestDrain(t *testing.T) {
	const end = 30 * mgclock.Second
	stream := func(tokens mgclock.Millis, delivered int, whole bool) mgpace.Stream {
		return mgpace.Stream{
			Remaining: tokens * 20,
			Delivered: delivered,
			Whole:     whole,
		}
	}
	Convey("A stream of a leaving engine", t, func() {
		Convey("stays where it ends in time", func() {
			So(mgpace.ActionFor(0, end, stream(500, 10, false)), ShouldEqual, mgpace.Stay)
		})
		Convey("moves where its caller has nothing of it, or wants it whole", func() {
			So(mgpace.ActionFor(0, end, stream(5000, 0, false)), ShouldEqual, mgpace.Restart)
			So(mgpace.ActionFor(0, end, stream(5000, 10, true)), ShouldEqual, mgpace.Restart)
		})
		Convey("is closed at the margin, and no sooner, where a part was delivered", func() {
			So(mgpace.ActionFor(end-mgpace.CloseMargin-1, end, stream(5000, 10, false)), ShouldEqual, mgpace.Stay)
			So(mgpace.ActionFor(end-mgpace.CloseMargin, end, stream(5000, 10, false)), ShouldEqual, mgpace.Close)
		})
	})
}
