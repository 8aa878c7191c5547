package mgagent_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// movingEngine is an engine whose generation is to be moved, with the agent that
// may take it over. It records the calls to both, in order.
type movingEngine struct {
	reclaimedEngine
	copyErr   func() error // the engine's answer to a copy
	stopErr   func() error // its answer to the last copy
	cancelErr func() error // its answer to a cancel
	takeOver  func(n int) (*mgrpc.StartReply, error)

	mu         sync.Mutex
	calls      []string
	handedOver *mgrpc.StartRequest
}

func (m *movingEngine) recordCall(what string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if what == "copy" && slices.Contains(m.calls, what) {
		return 0 // a copy is retried while there is time; record it once
	}
	m.calls = append(m.calls, what)
	count := 0
	for _, call := range m.calls {
		if call == what {
			count++
		}
	}
	return count
}

func (m *movingEngine) move(_ context.Context, spec mgengine.MoveSpec) (mgengine.Copy, error) {
	what, say := "copy", m.copyErr
	if spec.Last {
		what, say = "stop", m.stopErr
	}
	m.recordCall(what)
	if say != nil {
		if err := say(); err != nil {
			return mgengine.Copy{}, err
		}
	}
	return mgengine.Copy{
		Name: "copy of " + spec.ID,
	}, nil
}

func (m *movingEngine) cancel(context.Context, string) error {
	m.recordCall("cancel")
	if m.cancelErr != nil {
		return m.cancelErr()
	}
	return nil
}

// targetAgent is the agent that may take over the generation.
type targetAgent struct {
	mgrpc.Agent
	engine *movingEngine
}

func (targetAgent) Probe(context.Context, *mgrpc.ProbeRequest) (*mgrpc.Offer, error) {
	return &mgrpc.Offer{
		Incarnation: "i2",
		Engine:      "http://engine-2",
	}, nil
}

func (t targetAgent) Start(_ context.Context, in *mgrpc.StartRequest) (*mgrpc.StartReply, error) {
	n := t.engine.recordCall("hand over")
	t.engine.mu.Lock()
	t.engine.handedOver = in
	t.engine.mu.Unlock()
	if t.engine.takeOver != nil {
		return t.engine.takeOver(n)
	}
	return &mgrpc.StartReply{Generation: in.GetAttempt()}, nil
}

// runMove reclaims an engine that has one long generation, with two seconds'
// notice, and returns how its reader saw it end.
func runMove(t *testing.T, m *movingEngine) (seen readResult) {
	const notice = 2 * mgclock.Second
	synctest.Test(t, func(t *testing.T) {
		engine := idleCalls()
		engine.Start = func(context.Context, mgengine.StartSpec) error { return nil }
		engine.Stream = m.stream
		engine.Load = m.load
		engine.Move = m.move
		engine.Cancel = m.cancel
		agent, err := newAgent(strings.Replace(table, "batch = 1\n", "batch = 16\n", 1), engine, func(spec *mgagent.Spec) {
			spec.Settings.Name = "agent-1"
			spec.Settings.MaxWaiting = 8
			spec.OtherAgents = func(string) []mgagent.OtherAgent {
				return []mgagent.OtherAgent{{
					Name:  "agent-2",
					Agent: targetAgent{engine: m},
				}}
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel, done := runAgent(agent)
		var clock mgclock.Clock
		_, _ = agent.Start(ctx, &mgrpc.StartRequest{
			Attempt:     "long",
			Incarnation: "i1",
			Account:     "tankline",
			Service:     "report",
			Model:       "tank-70b",
			Prompt:      "shift report",
			Max:         1000,
			Budget:      50_000,
			Stamp:       int64(clock.Now()),
		})
		var reader sync.WaitGroup
		reader.Go(func() { seen = readToEnd(agent, "long") })
		clock.Sleep(ctx, 5*mgclock.Second+10)
		m.goneAt.Store(int64(clock.Now() + notice))
		m.leaving.Store(true)
		clock.Sleep(ctx, notice)
		cancel()
		reader.Wait()
		<-done
	})
	return seen
}

var errLost = errors.New("connection reset")

// An engine is reclaimed during a long answer and a step of the move fails. The
// caller must get the rest or a visible end, and a generation that the old
// engine may still run must not be handed over, as it would run twice.
func TestMoveFails(t *testing.T) {
	full := func() error { return mgengine.NewRefusal("move", errors.New("no room")) }
	lost := func() error { return mgengine.NewFailure(mgengine.Unknown, "move", "", errLost) }
	cases := []struct {
		name      string
		mover     movingEngine
		want      string
		wantCalls string
	}{
		{
			name:      "nothing fails",
			want:      "moved to agent-2",
			wantCalls: "copy, stop, hand over",
		},
		{
			name:      "the other engine has no capacity",
			mover:     movingEngine{copyErr: full},
			want:      "leaving/unknown",
			wantCalls: "copy, cancel",
		},
		{
			name:      "the answer to the stop is lost",
			mover:     movingEngine{stopErr: lost},
			want:      "moved to agent-2",
			wantCalls: "copy, stop, cancel, hand over",
		},
		{
			name: "the answers to the stop and to the cancel are lost",
			mover: movingEngine{
				stopErr:   lost,
				cancelErr: lost,
			},
			want:      "leaving/unknown",
			wantCalls: "copy, stop, cancel, cancel",
		},
		{
			name: "the other agent refuses",
			mover: movingEngine{takeOver: func(int) (*mgrpc.StartReply, error) {
				return &mgrpc.StartReply{Fault: &mgrpc.Fault{Kind: string(mgproblem.Leaving)}}, nil
			}},
			want:      "leaving/unknown",
			wantCalls: "copy, stop, hand over, cancel",
		},
		{
			name: "the other agent's first answer is lost",
			mover: movingEngine{takeOver: func(n int) (*mgrpc.StartReply, error) {
				if n == 1 {
					return nil, errLost
				}
				return &mgrpc.StartReply{}, nil
			}},
			want:      "moved to agent-2",
			wantCalls: "copy, stop, hand over, hand over",
		},
	}
	Convey("A generation is moved from its engine, and", t, func() {
		for i := range cases {
			c := &cases[i]
			Convey(c.name, func() {
				seen := runMove(t, &c.mover)
				So(seen.end, ShouldEqual, c.want)
				So(strings.Join(c.mover.calls, ", "), ShouldEqual, c.wantCalls)
				if c.mover.handedOver != nil {
					So(len(c.mover.handedOver.GetHad()), ShouldEqual, seen.tokens)
					So(c.mover.handedOver.GetCopy(), ShouldEqual, "copy of long")
					So(c.mover.handedOver.GetVia(), ShouldResemble, []string{"agent-1"})
				}
			})
		}
	})
}
