package mgrest_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgrest"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const sec = mgclock.Second

// Guards against an upstream that gets requests during the rest that it asked
// for, or all of them at its end.
func TestUpstreamLoadedDuringRest(t *testing.T) {
	Convey("An upstream that asked for a rest of two seconds", t, func() {
		var r mgrest.Rests
		So(r.CanSend(0, "a"), ShouldBeTrue)
		r.Begin(0, "a", 2*sec)
		Convey("is sent nothing until its end, while others are", func() {
			So(r.CanSend(2*sec-1, "a"), ShouldBeFalse)
			So(r.Remaining(500, "a"), ShouldEqual, 1500)
			So(r.CanSend(0, "b"), ShouldBeTrue)
			So(r.Remaining(0, "b"), ShouldEqual, 0)
		})
		Convey("is sent one request at its end, and more with each answer", func() {
			for _, window := range []int{1, 2, 4, 8} {
				var ends []func(bool)
				for range window {
					end, ok := r.Acquire(2*sec, "a")
					So(ok, ShouldBeTrue)
					ends = append(ends, end)
				}
				_, ok := r.Acquire(2*sec, "a")
				So(ok, ShouldBeFalse)
				So(r.CanSend(2*sec, "a"), ShouldBeFalse)
				for i, end := range ends {
					end(i == 0)
				}
			}
		})
		Convey("rests again when it asks again, also at the first request after its rest", func() {
			end, ok := r.Acquire(2*sec, "a")
			So(ok, ShouldBeTrue)
			r.Begin(2*sec+10, "a", sec)
			end(false)
			So(r.CanSend(3*sec, "a"), ShouldBeFalse)
			So(r.CanSend(3*sec+10, "a"), ShouldBeTrue)
		})
		Convey("rests again, although requests from before are answered during the second rest", func() {
			acquire := func(now mgclock.Millis) func(answered bool) {
				end, ok := r.Acquire(now, "a")
				So(ok, ShouldBeTrue)
				return end
			}
			for range 4 {
				acquire(2 * sec)(true)
			}
			var earlier []func(bool)
			for range 16 {
				earlier = append(earlier, acquire(2*sec))
			}
			r.Begin(2*sec+10, "a", sec)
			for _, end := range earlier {
				end(true)
			}
			So(r.CanSend(3*sec, "a"), ShouldBeFalse)
			So(r.Remaining(3*sec, "a"), ShouldEqual, 10)
			end := acquire(3*sec + 10)
			So(r.CanSend(3*sec+10, "a"), ShouldBeFalse)
			end(true)
			So(r.CanSend(3*sec+10, "a"), ShouldBeTrue)
		})
		Convey("is not sent requests sooner because a later answer asked for a shorter rest", func() {
			r.Begin(100, "a", 500)
			So(r.CanSend(sec, "a"), ShouldBeFalse)
		})
		Convey("is no longer limited after some answers", func() {
			for range 5 {
				end, ok := r.Acquire(2*sec, "a")
				So(ok, ShouldBeTrue)
				end(true)
			}
			for range 100 {
				_, ok := r.Acquire(2*sec, "a")
				So(ok, ShouldBeTrue)
			}
		})
		Convey("is forgotten when it is gone", func() {
			r.Forget(func(upstream string) bool { return upstream != "a" })
			So(r.CanSend(0, "a"), ShouldBeTrue)
		})
	})
	Convey("A rest is bounded, whatever is asked for", t, func() {
		var r mgrest.Rests
		r.Begin(0, "a", 1000*mgclock.Minute)
		So(r.CanSend(10*mgclock.Minute, "a"), ShouldBeTrue)
	})
}
