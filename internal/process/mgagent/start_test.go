package mgagent_test

import (
	"context"
	"errors"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const sample = `version = 1
[[model]]
name = "tank"
context = 8192
max = 512
[[service]]
name = "report"
model = "tank"
priority = 5
deadline = 20000
max = 512
[[upstream]]
name = "engine"
models = ["tank"]
memory = 40000
batch = 8
[[account]]
name = "tankline"
keys = ["be122e6c14afd1b20ab94a1a98ba052768381cb09e24a0d1cde7014300fb2ab0"]
weight = 1
`

// An engine takes a start and its answer is lost, as when it dies right then.
// The agent asks again and the engine, or what stands in its place, refuses.
// The refusal speaks for the second start only: the first may have generated
// for a while, so "not run" would be a claim too many.
func TestStartDoubt(t *testing.T) {
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
	table, err := mgtable.Parse([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	Convey("An attempt whose start at the engine is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				answers := c.answers
				agent, err := mgagent.New(mgagent.Spec{
					Settings: mgsettings.Agent{
						Upstream: "engine",
						Queue:    8,
						Policy:   "ours",
						Keep:     60000,
						Grace:    60000,
					},
					Incarnation: "i",
					Log:         logr.Discard(),
					Metrics:     mgmetric.New(),
					Engine: mgengine.NewClient(mgengine.Seams{
						Start: func(context.Context, mgengine.StartSpec) error {
							answer := answers[0]
							answers = answers[1:]
							return answer
						},
					}),
					Table: func() *mgtable.Table { return table },
					Seen:  func(uint64, string) {},
				})
				So(err, ShouldBeNil)
				ctx, cancel := context.WithCancel(context.Background())
				stopped := make(chan struct{})
				go func() {
					defer close(stopped)
					agent.Run(ctx)
				}()
				reply, err := agent.Start(ctx, &mgrpc.StartRequest{
					Attempt:     "a",
					Incarnation: "i",
					Account:     "tankline",
					Service:     "report",
					Model:       "tank",
					Prompt:      "a report",
					Max:         8,
					Budget:      10000,
				})
				So(err, ShouldBeNil)
				So(reply.GetFault(), ShouldBeNil)
				for clock := (mgclock.Clock{}); agent.State().Broken == 0; {
					So(clock.Sleep(ctx, 1), ShouldBeTrue)
				}
				told, err := agent.Cancel(ctx, &mgrpc.CancelRequest{
					Attempt:     "a",
					Incarnation: "i",
				})
				So(err, ShouldBeNil)
				So(told.GetOutcome(), ShouldEqual, string(c.outcome))
				cancel()
				<-stopped
			})
		}
	})
}
