package mgnode

import (
	"net"
	"net/http"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against idle connections whose callers go on to send requests to an overloaded process, and against
// those that a calm one ends.
func TestIdleConnectionsOverloadProcessOrAreEnded(t *testing.T) {
	Convey("A process with connections", t, func() {
		var conns connTracker
		open := make([]net.Conn, maxShed+8)
		for i := range open {
			open[i] = &net.TCPConn{}
			conns.stateChanged(open[i], http.StateNew)
			conns.stateChanged(open[i], http.StateIdle)
		}
		idleFor := func(i int, time mgclock.Millis) { conns.open[open[i]].idleSince = mgclock.Clock{}.Now() - time }
		ended := func() (indexes []int) {
			for i, conn := range open {
				if conns.open[conn].evicted {
					indexes = append(indexes, i)
				}
			}
			return indexes
		}
		overloaded := true
		shedder := &idleShedder{
			conns: &conns,
			log:   logr.Discard(),
		}
		isOverloaded := shedder.wrap(func() bool { return overloaded })
		Convey("that is calm ends none", func() {
			overloaded = false
			for i := range open {
				idleFor(i, mgclock.Minute)
			}
			So(isOverloaded(), ShouldBeFalse)
			So(ended(), ShouldBeEmpty)
		})
		Convey("that is overloaded", func() {
			Convey("ends those that have been idle for a while, not those that are in use or were lately", func() {
				idleFor(1, minIdleTime)
				idleFor(2, minIdleTime)
				conns.stateChanged(open[2], http.StateActive)
				conns.stateChanged(open[3], http.StateNew)
				idleFor(3, mgclock.Minute)
				So(isOverloaded(), ShouldBeTrue)
				So(ended(), ShouldResemble, []int{1})
				Convey("and the others once they have been idle for as long, after an interval", func() {
					idleFor(4, minIdleTime)
					So(isOverloaded(), ShouldBeTrue)
					So(ended(), ShouldResemble, []int{1})
					shedder.shedAt -= shedInterval
					So(isOverloaded(), ShouldBeTrue)
					So(ended(), ShouldResemble, []int{1, 4})
				})
				Convey("and keeps one whose request had arrived", func() {
					conns.stateChanged(open[1], http.StateActive)
					So(ended(), ShouldBeEmpty)
				})
			})
			Convey("ends only some at a time, those first that have been idle for longest", func() {
				for i := range open {
					idleFor(i, mgclock.Minute-mgclock.Millis(i))
				}
				So(isOverloaded(), ShouldBeTrue)
				So(ended(), ShouldHaveLength, maxShed)
				So(conns.open[open[maxShed-1]].evicted, ShouldBeTrue)
				shedder.shedAt -= shedInterval
				So(isOverloaded(), ShouldBeTrue)
				So(ended(), ShouldHaveLength, len(open))
			})
		})
	})
	Convey("A listener without a measure of overload ends none", t, func() {
		So((&idleShedder{}).wrap(nil), ShouldBeNil)
	})
}
