package mgdelivery_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgdelivery"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

func text(generation string, seq uint64, tokens ...string) *mgrpc.Frame {
	return &mgrpc.Frame{
		Generation: generation,
		Seq:        seq,
		Text:       tokens,
	}
}

func end(generation string, total uint64) *mgrpc.Frame {
	return &mgrpc.Frame{
		Generation: generation,
		End:        "stop",
		Total:      total,
	}
}

func fault(generation string) *mgrpc.Frame {
	return &mgrpc.Frame{
		Generation: generation,
		Fault:      "interrupted",
	}
}

// A reader of a report sees tokens twice, none, or of two texts. The frames
// came again after a reopen, with a gap, or from another stream. Each case
// gives the frames of one attempt and the decision on the last of them.
func TestFrames(t *testing.T) {
	cases := []struct {
		story  string
		spec   mgdelivery.Spec
		frames []*mgrpc.Frame
		action mgdelivery.Action
		tokens []string
	}{
		{"new tokens", mgdelivery.Spec{}, []*mgrpc.Frame{text("g", 1, "a", "b")}, mgdelivery.Deliver, []string{"a", "b"}},
		{"a duplicate", mgdelivery.Spec{}, []*mgrpc.Frame{text("g", 1, "a"), text("g", 1, "a")}, mgdelivery.Wait, nil},
		{"an overlap", mgdelivery.Spec{}, []*mgrpc.Frame{text("g", 1, "a"), text("g", 1, "a", "b")}, mgdelivery.Deliver, []string{"b"}},
		{"a gap", mgdelivery.Spec{}, []*mgrpc.Frame{text("g", 1, "a"), text("g", 3, "c")}, mgdelivery.Reopen, nil},
		{"a crossed stream", mgdelivery.Spec{}, []*mgrpc.Frame{text("h", 1, "x")}, mgdelivery.Reopen, nil},
		{"a crossed stream that goes on", mgdelivery.Spec{}, []*mgrpc.Frame{text("g", 1, "a"), text("h", 2, "x"), text("h", 2, "x"), text("h", 2, "x"), text("h", 2, "x")}, mgdelivery.Fail, nil},
		{"the end", mgdelivery.Spec{}, []*mgrpc.Frame{text("g", 1, "a"), end("g", 1)}, mgdelivery.Finish, nil},
		{"the end before the tail", mgdelivery.Spec{}, []*mgrpc.Frame{text("g", 1, "a"), end("g", 2)}, mgdelivery.Reopen, nil},
		{"a frame after the end", mgdelivery.Spec{}, []*mgrpc.Frame{text("g", 1, "a"), end("g", 1), text("g", 2, "b")}, mgdelivery.Wait, nil},
		{"an engine killed before the first token", mgdelivery.Spec{}, []*mgrpc.Frame{fault("g")}, mgdelivery.Elsewhere, nil},
		{"an engine killed after the first token", mgdelivery.Spec{}, []*mgrpc.Frame{text("g", 1, "a"), fault("g")}, mgdelivery.Fail, nil},
		{"the last allowed generation killed", mgdelivery.Spec{Generations: 1}, []*mgrpc.Frame{fault("g")}, mgdelivery.Fail, nil},
		{"whole delivery waits", mgdelivery.Spec{Whole: true}, []*mgrpc.Frame{text("g", 1, "a")}, mgdelivery.Wait, nil},
		{"whole delivery ends", mgdelivery.Spec{Whole: true}, []*mgrpc.Frame{text("g", 1, "a"), text("g", 2, "b"), end("g", 2)}, mgdelivery.Finish, []string{"a", "b"}},
		{"an engine killed in whole delivery", mgdelivery.Spec{Whole: true}, []*mgrpc.Frame{text("g", 1, "a"), fault("g")}, mgdelivery.Elsewhere, nil},
		{"a caller that is back", mgdelivery.Spec{From: 1, Pinned: true}, []*mgrpc.Frame{text("g", 1, "a", "b")}, mgdelivery.Deliver, []string{"b"}},
		{"an engine killed while the caller was away", mgdelivery.Spec{From: 1, Pinned: true}, []*mgrpc.Frame{fault("g")}, mgdelivery.Fail, nil},
		{"a generation cancelled at the engine", mgdelivery.Spec{}, []*mgrpc.Frame{text("g", 1, "a"), {Generation: "g", End: "cancelled", Total: 1}}, mgdelivery.Fail, nil},
	}
	Convey("The decision on the last frame", t, func() {
		for _, c := range cases {
			Convey(c.story, func() {
				r := mgdelivery.New(c.spec)
				attempt := r.Begin("g")
				var d mgdelivery.Decision
				for _, f := range c.frames {
					d = r.Frame(attempt, f)
				}
				So(d.Action(), ShouldEqual, c.action)
				So(fmt.Sprint(d.Tokens()), ShouldEqual, fmt.Sprint(c.tokens))
			})
		}
	})
}

// A dossier stops halfway. Its engine was killed, and the member must not take
// the half for the whole: the end is told, with what was delivered of which
// generation.
func TestInterrupted(t *testing.T) {
	Convey("An interruption after the first token is told as it is", t, func() {
		var r mgdelivery.Receiver
		attempt := r.Begin("g7")
		r.Frame(attempt, text("g7", 1, "a", "b"))
		d := r.Lost(attempt)
		So(d.Problem().Kind(), ShouldEqual, mgproblem.Interrupted)
		So(d.Problem().Detail(), ShouldContainSubstring, "2 tokens of generation g7")
		So(d.Cancel(), ShouldEqual, "g7")
		Convey("and no other generation can follow it", func() {
			So(r.Begin("g8"), ShouldEqual, 0)
			So(r.Frame(0, text("g8", 3, "c")).Action(), ShouldEqual, mgdelivery.Wait)
		})
	})
}

// A request went elsewhere before its first token, and then the first engine's
// tokens arrive after all: its link had stalled. They are of a text that the
// caller will not see.
func TestLateAttempt(t *testing.T) {
	Convey("Frames and losses of an older attempt do nothing", t, func() {
		var r mgdelivery.Receiver
		old := r.Begin("g")
		So(r.Lost(old).Action(), ShouldEqual, mgdelivery.Elsewhere)
		So(r.Frame(old, text("g", 1, "x")).Action(), ShouldEqual, mgdelivery.Wait)
		attempt := r.Begin("h")
		So(r.Frame(old, text("g", 1, "x")).Action(), ShouldEqual, mgdelivery.Wait)
		So(r.Lost(old).Action(), ShouldEqual, mgdelivery.Wait)
		So(r.Frame(attempt, text("h", 1, "y")).Tokens(), ShouldResemble, []string{"y"})
	})
}
