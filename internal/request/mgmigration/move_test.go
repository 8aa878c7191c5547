package mgmigration

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func copiedReply(handle string) Reply {
	return Reply{
		Outcome: Copied,
		Handle:  handle,
	}
}

func failedReply(outcome Outcome) Reply {
	return Reply{
		Outcome: outcome,
	}
}

// Guards against a generation that is cut though its engine gave notice: one
// call of its move failed, and the move gave up or went on as if the call had
// succeeded.
func TestFailedCallAbandonsRun(t *testing.T) {
	cases := []struct {
		name    string
		replies []Reply
		step    Step
		places  []Place
		handle  string
	}{
		{
			name: "starts with a copy while the run continues",
			step: Copy,
		},
		{
			name:    "stops the run once its memory is copied",
			replies: []Reply{copiedReply("a")},
			step:    Stop,
			places:  []Place{AtDestination},
			handle:  "a",
		},
		{
			name:    "resumes at the destination, else at the stopped source",
			replies: []Reply{copiedReply("a"), copiedReply("b")},
			step:    Done,
			places:  []Place{AtDestination, AtSource},
			handle:  "b",
		},
		{
			name:    "tries another destination while nothing is lost",
			replies: []Reply{failedReply(NoCapacity), failedReply(Lost)},
			step:    Copy,
		},
		{
			name:    "pauses after three destinations without capacity, where some will be free soon",
			replies: []Reply{failedReply(NoCapacity), failedReply(NoCapacity), failedReply(NoCapacity)},
			step:    Wait,
		},
		{
			name:    "gives up after three lost replies and leaves the run at its source",
			replies: []Reply{failedReply(Lost), failedReply(Lost), failedReply(Lost)},
			step:    Done,
		},
		{
			name:    "waits for a run that has not begun",
			replies: []Reply{failedReply(Absent)},
			step:    Wait,
		},
		{
			name:    "waits while another call is in progress",
			replies: []Reply{failedReply(Busy)},
			step:    Wait,
		},
		{
			name: "resumes at the source when the last copy failed",
			replies: []Reply{copiedReply("a"), {
				Outcome: NoCapacity,
				Handle:  "b",
			}},
			step:   Done,
			places: []Place{AtSource},
			handle: "b",
		},
		{
			name:    "keeps the pre-copy when the reply to the stop is lost",
			replies: []Reply{copiedReply("a"), failedReply(Lost)},
			step:    Done,
			places:  []Place{AtDestination},
			handle:  "a",
		},
		{
			name:    "has nothing to do when the run ended by itself",
			replies: []Reply{copiedReply("a"), failedReply(Absent)},
			step:    Done,
			handle:  "a",
		},
	}
	Convey("A move", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var m Move
				for _, reply := range c.replies {
					m.HandleReply(reply)
				}
				So(m.Step(), ShouldEqual, c.step)
				So(m.Places(), ShouldResemble, c.places)
				So(m.Handle(), ShouldEqual, c.handle)
			})
		}
		Convey("waits for a bounded time", func() {
			for _, outcome := range []Outcome{Absent, Busy, NoCapacity} {
				var m Move
				for n := 0; m.Step() != Done; n++ {
					So(n, ShouldBeLessThan, (triesBeforeWait+1)*maxWaits)
					m.HandleReply(failedReply(outcome))
					m.EndWait()
				}
				So(m.Places(), ShouldBeEmpty)
			}
		})
	})
}
