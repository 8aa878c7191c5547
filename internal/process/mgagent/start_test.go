package mgagent_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// An engine accepts a start, its answer is lost, and the engine or its
// replacement refuses the retry. The refusal covers only the retry: the first
// start may have run, so "not run" would be false.
func TestFalseNotRunAfterLostAnswer(t *testing.T) {
	lost := mgengine.NewFailure(mgengine.Unknown, "start", "", errors.New("the answer was lost"))
	refused := mgengine.NewFailure(mgengine.NotStarted, "start", "", errors.New("nobody listens"))
	cases := []struct {
		name    string
		answers []error
		outcome mgproblem.Outcome
	}{
		{
			name:    "refused at once: not run",
			answers: []error{refused},
			outcome: mgproblem.NotRun,
		},
		{
			name:    "the answer lost, then refused: unknown",
			answers: []error{lost, refused},
			outcome: mgproblem.Unknown,
		},
		{
			name:    "each answer lost: unknown",
			answers: []error{lost, lost, lost},
			outcome: mgproblem.Unknown,
		},
	}
	Convey("An attempt whose start at the engine is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(cancelOutcome(c.answers), ShouldEqual, string(c.outcome))
			})
		}
	})
}

// cancelOutcome runs an attempt whose starts at the engine get answers, in
// order, and returns the outcome of its cancel.
func cancelOutcome(answers []error) string {
	agent, err := newAgent(table, mgengine.Calls{
		Start: func(context.Context, mgengine.StartSpec) error {
			answer := answers[0]
			answers = answers[1:]
			return answer
		},
	}, func(spec *mgagent.Spec) { spec.Settings.MaxWaiting = 8 })
	So(err, ShouldBeNil)
	ctx, cancel, done := runAgent(agent)
	reply, err := agent.Start(ctx, &mgrpc.StartRequest{
		Attempt:     "a",
		Incarnation: "i1",
		Account:     "tankline",
		Service:     "report",
		Model:       "tank-70b",
		Prompt:      "a report",
		Max:         8,
		Budget:      10000,
	})
	So(err, ShouldBeNil)
	So(reply.GetFault(), ShouldBeNil)
	for clock := (mgclock.Clock{}); agent.State().Broken == 0; {
		So(clock.Sleep(ctx, 1), ShouldBeTrue)
	}
	canceled, err := agent.Cancel(ctx, &mgrpc.CancelRequest{
		Attempt:     "a",
		Incarnation: "i1",
	})
	So(err, ShouldBeNil)
	cancel()
	<-done
	return canceled.GetOutcome()
}
