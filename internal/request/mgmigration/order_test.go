package mgmigration

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a wrong order: a run that would have ended by itself is moved
// first, and a run of seven seconds that waits behind it is cut when the engine
// leaves.
func TestRunThatEndsSoonMovesFirst(t *testing.T) {
	Convey("Runs are moved in the order of the work that they would lose", t, func() {
		runs := map[string]Run{
			"begun long ago, much to come": {
				Prompt:         3000,
				ExpectedOutput: 2000,
				Generated:      800,
				Elapsed:        6400,
			},
			"just begun": {
				Prompt:         3000,
				ExpectedOutput: 900,
			},
			"ends in a moment": {
				Prompt:         3000,
				ExpectedOutput: 900,
				Generated:      890,
				Elapsed:        7000,
			},
			"may go on without a copy": {
				Prompt:         3000,
				ExpectedOutput: 2000,
				Generated:      10,
				Elapsed:        80,
				CanResume:      true,
			},
		}
		var names []string
		for name := range runs {
			names = append(names, name)
		}
		slices.SortFunc(names, func(a, b string) int {
			if runs[a].Benefit() > runs[b].Benefit() {
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
			ExpectedOutput: 100,
			Generated:      1000,
			Elapsed:        8000,
		}
		So(r.RemainingTokens(), ShouldEqual, 250)
		remaining, known := r.RemainingTime()
		So(known, ShouldBeTrue)
		So(remaining, ShouldEqual, 2000)
	})
	Convey("A run without a token has no pace", t, func() {
		_, known := Run{
			ExpectedOutput: 100,
		}.RemainingTime()
		So(known, ShouldBeFalse)
	})
}

// Guards against a run without a backup that is lost with its engine while one that could
// have continued from its backup takes the link.
func TestRunWithBackupMovesFirst(t *testing.T) {
	Convey("A run with a backup is moved after those without, and before those that can resume", t, func() {
		long := Run{
			Prompt:         3000,
			ExpectedOutput: 2000,
			Generated:      800,
			Elapsed:        6400,
		}
		nearEnd := Run{
			Prompt:         3000,
			ExpectedOutput: 900,
			Generated:      890,
			Elapsed:        7000,
		}
		withBackup := long
		withBackup.HasBackup = true
		resumable := withBackup
		resumable.CanResume = true
		So(long.Benefit(), ShouldBeGreaterThan, nearEnd.Benefit())
		So(nearEnd.Benefit(), ShouldBeGreaterThan, withBackup.Benefit())
		So(withBackup.Benefit(), ShouldBeGreaterThan, resumable.Benefit())
	})
}
