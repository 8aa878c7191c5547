package mgclock_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

func TestManualClockFiresTooEarly(t *testing.T) {
	Convey("A manual clock", t, func() {
		var manual mgclock.Manual
		clock := manual.Clock()

		Convey("fires only the timers that have expired", func() {
			early := clock.After(10)
			late := clock.After(20)
			manual.Advance(10)
			So(isClosed(early), ShouldBeTrue)
			So(isClosed(late), ShouldBeFalse)
			So(manual.PendingTimers(), ShouldEqual, 1)
		})

		Convey("ends a sleep when its context ends", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			So(clock.Sleep(ctx, 10), ShouldBeFalse)
		})
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func ExampleManual() {
	var manual mgclock.Manual
	manual.Advance(3 * mgclock.Second)
	fmt.Println(manual.Clock().Now())
	// Output: 3000
}
