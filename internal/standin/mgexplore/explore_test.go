package mgexplore_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgexplore"
)

func TestExplorerSkipsSchedules(t *testing.T) {
	Convey("An explorer", t, func() {
		Convey("tries every schedule", func() {
			tried := map[string]bool{}
			report := mgexplore.Exhaust(100, func(c *mgexplore.Chooser) error {
				tried[fmt.Sprint(c.Choose(3), c.Choose(2))] = true
				return nil
			})
			So(len(tried), ShouldEqual, 6)
			So(report.Schedules(), ShouldEqual, 6)
			So(report.Whole(), ShouldBeTrue)
		})
		Convey("prunes schedules after a known state, and still reaches every state", func() {
			ends := map[int]bool{}
			report := mgexplore.Exhaust(1000, func(c *mgexplore.Chooser) error {
				sum := 0
				for step := range 6 {
					if c.Seen(step, func() string { return fmt.Sprint(step, sum) }) {
						return nil
					}
					sum += c.Choose(2)
				}
				ends[sum] = true
				return nil
			})
			So(len(ends), ShouldEqual, 7)
			So(report.Schedules(), ShouldBeLessThan, 1<<6)
			So(report.Whole(), ShouldBeTrue)
		})
		Convey("reports the schedule that violates", func() {
			bad := errors.New("bad")
			report := mgexplore.Exhaust(100, func(c *mgexplore.Chooser) error {
				if c.Choose(2) == 1 && c.Choose(3) == 2 {
					return bad
				}
				return nil
			})
			So(errors.Is(report.Violation(), bad), ShouldBeTrue)
			So(report.Violation().Error(), ShouldContainSubstring, "choices [1 2]")
		})
	})
}
