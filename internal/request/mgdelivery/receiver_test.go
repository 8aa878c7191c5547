package mgdelivery_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgdelivery"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// specs maps the names that the cases use to the specs of their receivers: once
// allows one generation, back is a caller that resumes.
var specs = map[string]mgdelivery.Spec{
	"stream": {},
	"whole": {
		Whole: true,
	},
	"once": {
		Generations: 1,
	},
	"back": {
		From:   1,
		Pinned: true,
	},
}

// actionNames maps actions to the names that the cases use; elsewhere is
// StartOver.
var actionNames = map[mgdelivery.Action]string{
	mgdelivery.Wait:      "wait",
	mgdelivery.Deliver:   "deliver",
	mgdelivery.Finish:    "finish",
	mgdelivery.Reopen:    "reopen",
	mgdelivery.StartOver: "elsewhere",
	mgdelivery.Fail:      "fail",
}

// parseFrame parses a frame such as g1ab=2: the generation (g), the number of
// its first token (1), one letter per token (ab) and, if the generation ends
// with it, = and the total of tokens. ! is a fault, ~ a cancel.
func parseFrame(text string) *mgdelivery.Frame {
	f := &mgdelivery.Frame{
		Generation: text[:1],
	}
	tokens, total, ended := strings.Cut(text[1:], "=")
	switch {
	case tokens == "!":
		f.Fault = "interrupted"
	case tokens == "~":
		f.End = "cancelled"
	case tokens != "":
		f.Seq = uint64(tokens[0] - '0')
		f.Tokens = strings.Split(tokens[1:], "")
	}
	if ended {
		f.End = "stop"
		f.Total = uint64(total[0] - '0')
	}
	return f
}

// Guards against a caller that gets tokens twice, not at all, or of two texts,
// because frames are repeated after a reopen, have a gap, or are of another
// stream. A case has a name, the spec, the frames of one attempt, and the last
// frame's decision with its tokens.
func TestFrameRepeatedMissingOrForeign(t *testing.T) {
	cases := [][4]string{
		{"new tokens", "stream", "g1ab", "deliver ab"},
		{"a duplicate", "stream", "g1a g1a", "wait "},
		{"an overlap", "stream", "g1a g1ab", "deliver b"},
		{"a gap", "stream", "g1a g3c", "reopen "},
		{"a crossed stream", "stream", "h1x", "reopen "},
		{"a crossed stream that continues", "stream", "g1a h2x h2x h2x h2x", "fail "},
		{"the end", "stream", "g1a g=1", "finish "},
		{"the end before the tail", "stream", "g1a g=2", "reopen "},
		{"the end with a token, before the tail", "stream", "g1a g2b=3", "reopen "},
		{"the end with the last tokens", "stream", "g1a g2bc=3", "finish bc"},
		{"the end after a reopening", "stream", "g1a g=2 g2b g=2", "finish "},
		{"a frame after the end", "stream", "g1a g=1 g2b", "wait "},
		{"an engine killed before the first token", "stream", "g!", "elsewhere "},
		{"an engine killed after the first token", "stream", "g1a g!", "fail "},
		{"the last allowed generation killed", "once", "g!", "fail "},
		{"whole delivery waits", "whole", "g1a", "wait "},
		{"whole delivery ends", "whole", "g1a g2b g=2", "finish ab"},
		{"an engine killed in whole delivery", "whole", "g1a g!", "elsewhere "},
		{"a resuming caller", "back", "g1ab", "deliver b"},
		{"an engine killed while the caller was away", "back", "g!", "fail "},
		{"a generation cancelled at the engine", "stream", "g1a g~", "fail "},
	}
	Convey("The decision on the last frame", t, func() {
		for _, c := range cases {
			Convey(c[0], func() {
				r := mgdelivery.New(specs[c[1]])
				attempt := r.Begin("g")
				var d mgdelivery.Decision
				for _, word := range strings.Fields(c[2]) {
					d = r.HandleFrame(attempt, parseFrame(word))
				}
				So(actionNames[d.Action()]+" "+strings.Join(d.Tokens(), ""), ShouldEqual, c[3])
			})
		}
	})
}

// Guards against an incomplete answer that the caller takes for a complete one
// after its engine was killed halfway. It must get a problem that states how
// much of which generation was delivered.
func TestPartTakenForWhole(t *testing.T) {
	Convey("An interruption after the first token is reported as such", t, func() {
		var r mgdelivery.Receiver
		attempt := r.Begin("g")
		r.HandleFrame(attempt, parseFrame("g1ab"))
		d := r.HandleLoss(attempt)
		So(d.Problem().Kind(), ShouldEqual, mgproblem.Interrupted)
		So(d.Problem().Detail(), ShouldContainSubstring, "2 tokens of generation g")
		So(d.Cancel(), ShouldEqual, "g")
		Convey("and no other generation can follow it", func() {
			So(r.Begin("h"), ShouldEqual, 0)
			So(r.HandleFrame(0, parseFrame("h3c")).Action(), ShouldEqual, mgdelivery.Wait)
		})
	})
}

// Guards against tokens of an abandoned attempt: a request starts over
// elsewhere before its first token, and then the first engine's tokens arrive
// after all because its link had stalled. They are of a text that the caller
// must not get.
func TestLateFramesOfOlderAttempt(t *testing.T) {
	Convey("Frames and losses of an older attempt do nothing", t, func() {
		var r mgdelivery.Receiver
		old := r.Begin("g")
		So(r.HandleLoss(old).Action(), ShouldEqual, mgdelivery.StartOver)
		So(r.HandleFrame(old, parseFrame("g1x")).Action(), ShouldEqual, mgdelivery.Wait)
		attempt := r.Begin("h")
		So(r.HandleFrame(old, parseFrame("g1x")).Action(), ShouldEqual, mgdelivery.Wait)
		So(r.HandleLoss(old).Action(), ShouldEqual, mgdelivery.Wait)
		So(r.HandleFrame(attempt, parseFrame("h1y")).Tokens(), ShouldResemble, []string{"y"})
	})
}
