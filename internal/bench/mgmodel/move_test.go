package mgmodel_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
)

// A reader whose generation moved to another engine sees the token after the
// last one, and no prompt is computed again before it.
func TestResume(t *testing.T) {
	Convey("A generation of which four tokens were copied", t, func() {
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
		Convey("goes on at the fifth", func() {
			So(r.Tokens()[0].ID(), ShouldEqual, "moved")
			So(r.Tokens()[0].Seq(), ShouldEqual, 5)
			So(e.Step().Finished(), ShouldContain, "moved")
		})
		Convey("computes its prompt again only once its memory was taken", func() {
			So(e.Cancel("moved"), ShouldBeTrue)
			So(e.Add(moved), ShouldBeTrue)
			So(e.Step().Duration(), ShouldBeGreaterThan, r.Duration())
		})
	})
	Convey("Memory that is held for a copy is nobody else's", t, func() {
		e := mgmodel.New(mgmodel.Spec{
			Memory: 1000,
		})
		So(e.Hold(600), ShouldBeTrue)
		So(e.Hold(600), ShouldBeFalse)
		So(e.Free(), ShouldEqual, 400)
		e.Release(600)
		So(e.Used(), ShouldEqual, 0)
	})
}
