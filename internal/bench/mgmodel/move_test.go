package mgmodel_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
)

// Guards against a moved generation that repeats or skips a token, or computes
// its whole prompt again before the next token.
func TestResumeRepeatsTokenOrPrompt(t *testing.T) {
	Convey("A generation that is resumed after four tokens", t, func() {
		e := mgmodel.New(mgmodel.Spec{
			Memory: 1000,
		})
		moved := mgmodel.Sequence{
			ID:     "moved",
			Prompt: 500,
			Output: 6,
		}
		So(e.Add(mgmodel.Sequence{
			ID:     "other",
			Prompt: 100,
			Output: 9,
		}), ShouldBeTrue)
		So(e.Resume(moved, 4, 1), ShouldBeTrue)
		So(e.Resume(moved, 4, 1), ShouldBeFalse)
		r := e.Step()
		Convey("continues with the fifth token", func() {
			So(r.Tokens()[0].ID(), ShouldEqual, "moved")
			So(r.Tokens()[0].Seq(), ShouldEqual, 5)
			So(e.Step().Finished(), ShouldContain, "moved")
		})
		Convey("computes its whole prompt again only after its memory was freed", func() {
			So(e.Cancel("moved"), ShouldBeTrue)
			So(e.Add(moved), ShouldBeTrue)
			So(e.Step().Duration(), ShouldBeGreaterThan, r.Duration())
		})
	})
	Convey("Memory that is held for a copy is not available to others", t, func() {
		e := mgmodel.New(mgmodel.Spec{
			Memory: 1000,
		})
		So(e.Reserve(600), ShouldBeTrue)
		So(e.Reserve(600), ShouldBeFalse)
		So(e.Free(), ShouldEqual, 400)
		e.Release(600)
		So(e.Used(), ShouldEqual, 0)
	})
}
