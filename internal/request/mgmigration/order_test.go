package mgmigration

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// A run that would have ended by itself is moved first, and one of seven
// seconds behind it is cut when the engine leaves.
func TestRunThatEndsSoonMovesFirst(t *testing.T) {
	Convey("Runs are moved in the order of the work that they would lose", t, func() {
		runs := map[string]Run{
			"begun long ago, much to come": {
				Prompt:  3000,
				Output:  2000,
				Made:    800,
				Running: 6400,
			},
			"just begun": {
				Prompt: 3000,
				Output: 900,
			},
			"ends in a moment": {
				Prompt:  3000,
				Output:  900,
				Made:    890,
				Running: 7000,
			},
			"may go on without a copy": {
				Prompt:  3000,
				Output:  2000,
				Made:    10,
				Running: 80,
				Resumes: true,
			},
		}
		var names []string
		for name := range runs {
			names = append(names, name)
		}
		slices.SortFunc(names, func(a, b string) int {
			if runs[a].Worth() > runs[b].Worth() {
				return -1
			}
			return 1
		})
		So(names, ShouldResemble, []string{
			"begun long ago, much to come",
			"just begun",
			"ends in a moment",
			"may go on without a copy",
		})
	})
	Convey("A run that exceeds its expected length has more to come", t, func() {
		r := Run{
			Output:  100,
			Made:    1000,
			Running: 8000,
		}
		So(r.Left(), ShouldEqual, 250)
		ends, known := r.Ends()
		So(known, ShouldBeTrue)
		So(ends, ShouldEqual, 2000)
	})
	Convey("A run without a token has no pace", t, func() {
		_, known := Run{
			Output: 100,
		}.Ends()
		So(known, ShouldBeFalse)
	})
}
