package mgagent_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Guards against "not run" for a start whose answer was lost: the engine may have run it,
// whatever the engine or its replacement reports afterwards.
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

// Guards against a generation that is started twice: an engine whose answer to the start was
// lost restarts before the agent tries again, and no longer knows the generation.
func TestLostAnswerStartsTwice(t *testing.T) {
	cases := []struct {
		name     string
		restarts bool // the engine restarts after the first start
		muted    bool // the engine doesn't answer the first query for its generations after that
		finished int64
		outcome  mgproblem.Outcome
	}{
		{
			name:     "if the engine holds it, its tokens are read",
			finished: 1,
			outcome:  mgproblem.Done,
		},
		{
			name:     "if the engine answers only the second query, its tokens are read too",
			muted:    true,
			finished: 1,
			outcome:  mgproblem.Done,
		},
		{
			name:     "if the engine has restarted, its outcome is unknown",
			restarts: true,
			outcome:  mgproblem.Unknown,
		},
	}
	Convey("A generation starts once where the engine's answer was lost", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				engine := mgstandin.NewEngine(mgstandin.EngineSpec{}, mgclock.Clock{})
				engineCtx, stopEngine := context.WithCancel(context.Background())
				defer stopEngine()
				go engine.Run(engineCtx)
				var startCalls, queries atomic.Int64
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					isQuery := r.Method == http.MethodGet && r.URL.Path == "/v1/generations"
					if c.muted && isQuery && startCalls.Load() > 0 && queries.Add(1) == 1 {
						panic(http.ErrAbortHandler)
					}
					if r.Method != http.MethodPost || r.URL.Path != "/v1/generations" || startCalls.Add(1) > 1 {
						engine.Handler().ServeHTTP(w, r)
						return
					}
					engine.Handler().ServeHTTP(httptest.NewRecorder(), r)
					if c.restarts {
						engine.Set(mgstandin.Fault{Kind: mgstandin.Die})
						engine.Set(mgstandin.Fault{Kind: mgstandin.Heal})
					}
					panic(http.ErrAbortHandler)
				}))
				defer server.Close()
				agent, err := newAgent(table, mgengine.Calls{}, func(spec *mgagent.Spec) {
					spec.Engine = mgengine.NewHTTP(server.URL, nil)
					spec.Settings.MaxWaiting = 8
				})
				So(err, ShouldBeNil)
				ctx, cancel, done := runAgent(agent)
				reply, err := agent.Start(ctx, &mgrpc.StartRequest{
					Attempt:     "a",
					Incarnation: "i1",
					Account:     "tankline",
					Service:     "report",
					Model:       "tank-70b",
					Prompt:      "a report len=3",
					Max:         8,
					Budget:      10000,
				})
				So(err, ShouldBeNil)
				So(reply.GetFault(), ShouldBeNil)
				for agent.State().Broken+agent.State().Finished == 0 {
					So(mgclock.Clock{}.Sleep(ctx, 1), ShouldBeTrue)
				}
				state := agent.State()
				canceled, err := agent.Cancel(ctx, &mgrpc.CancelRequest{
					Attempt:     "a",
					Incarnation: "i1",
				})
				So(err, ShouldBeNil)
				cancel()
				<-done
				So(engine.Counts().Generations["a"].Starts, ShouldEqual, 1)
				So(state.Finished, ShouldEqual, c.finished)
				So(canceled.GetOutcome(), ShouldEqual, string(c.outcome))
			})
		}
	})
}

// Guards against an agent that knows that a start failed, and keeps its caller until the silent
// engine's time for the cancel is over, too.
func TestFailedStartReportedLate(t *testing.T) {
	// The agent waits 2 s for the start and twice 1 s for the list of generations.
	const maxReportDelay = 4 * mgclock.Second
	silent := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	Convey("The failure of a start at an engine that answers nothing", t, func() {
		var delay mgclock.Millis
		var cancelled atomic.Int64
		synctest.Test(t, func(t *testing.T) {
			calls := idleCalls()
			var clock mgclock.Clock
			var start mgclock.Millis
			calls.Start = func(ctx context.Context, _ mgengine.StartSpec) error {
				start = clock.Now()
				return silent(ctx)
			}
			calls.List = func(ctx context.Context) ([]mgengine.Generation, error) { return nil, silent(ctx) }
			calls.Cancel = func(ctx context.Context, _ string) error {
				cancelled.Add(1)
				return silent(ctx)
			}
			agent, err := newAgent(table, calls, unchanged)
			if err != nil {
				t.Fatal(err)
			}
			r := &harness{
				agent: agent,
			}
			r.ctx, r.stop, r.done = runAgent(agent)
			r.startAttempt("a", "i1")
			_ = r.frames("a")
			delay = clock.Now() - start
			r.stop()
			<-r.done
		})
		Convey("is reported when it is known", func() {
			So(delay, ShouldBeLessThanOrEqualTo, maxReportDelay)
		})
		Convey("is followed by a cancel", func() {
			So(cancelled.Load(), ShouldEqual, 1)
		})
	})
}
