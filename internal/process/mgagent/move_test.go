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

// mover is an engine whose generation is to be moved, and the agent that may
// take it. It keeps what was asked of both, in order.
type mover struct {
	reclaimedEngine
	copy  func() error // the engine's word on a copy
	stop  func() error // on the last copy
	end   func() error // on a cancel
	taker func(n int) (*mgrpc.StartReply, error)

	mu    sync.Mutex
	asked []string
	took  *mgrpc.StartRequest
}

func (m *mover) note(what string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if what == "copy" && slices.Contains(m.asked, what) {
		return 0 // it is tried again for as long as there is time
	}
	m.asked = append(m.asked, what)
	count := 0
	for _, asked := range m.asked {
		if asked == what {
			count++
		}
	}
	return count
}

func (m *mover) move(_ context.Context, spec mgengine.MoveSpec) (mgengine.Copy, error) {
	what, say := "copy", m.copy
	if spec.Last {
		what, say = "stop", m.stop
	}
	m.note(what)
	if say != nil {
		if err := say(); err != nil {
			return mgengine.Copy{}, err
		}
	}
	return mgengine.Copy{
		Name: "copy of " + spec.ID,
	}, nil
}

func (m *mover) cancel(context.Context, string) error {
	m.note("cancel")
	if m.end != nil {
		return m.end()
	}
	return nil
}

// taking is the other agent.
type taking struct {
	mgrpc.Agent
	m *mover
}

func (taking) Probe(context.Context, *mgrpc.ProbeRequest) (*mgrpc.Offer, error) {
	return &mgrpc.Offer{
		Incarnation: "i2",
		Engine:      "http://engine-2",
	}, nil
}

func (t taking) Start(_ context.Context, in *mgrpc.StartRequest) (*mgrpc.StartReply, error) {
	n := t.m.note("hand over")
	t.m.mu.Lock()
	t.m.took = in
	t.m.mu.Unlock()
	if t.m.taker != nil {
		return t.m.taker(n)
	}
	return &mgrpc.StartReply{Generation: in.GetAttempt()}, nil
}

// playMove has an engine with one long generation given two seconds' notice, and
// returns how its reader saw it end.
func playMove(t *testing.T, m *mover) (seen ending) {
	const notice = 2 * mgclock.Second
	synctest.Test(t, func(t *testing.T) {
		engine := quiet()
		engine.Start = func(context.Context, mgengine.StartSpec) error { return nil }
		engine.Stream = m.stream
		engine.Load = m.load
		engine.Move = m.move
		engine.Cancel = m.cancel
		agent, err := newAgent(strings.Replace(table, "batch = 1\n", "batch = 16\n", 1), engine, func(spec *mgagent.Spec) {
			spec.Settings.Name = "agent-1"
			spec.Settings.Queue = 8
			spec.Others = func(string) []mgagent.Other {
				return []mgagent.Other{{
					Name:  "agent-2",
					Agent: taking{m: m},
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
		reader.Go(func() { seen = follow(agent, "long") })
		clock.Sleep(ctx, 5*mgclock.Second+10)
		m.gone.Store(int64(clock.Now() + notice))
		m.leaves.Store(true)
		clock.Sleep(ctx, notice)
		cancel()
		reader.Wait()
		<-done
	})
	return seen
}

var errLost = errors.New("connection reset")

// An engine is reclaimed while a dossier streams from it, and a step of its move
// fails: the other engine has no room, an answer is lost, the other agent
// refuses or dies. The caller must see the rest from the same generation or a
// visible end, and no two engines may run it: an agent that hands it over while
// its own engine may still run it makes a second run.
func TestMoveFails(t *testing.T) {
	full := func() error { return mgengine.NewRefusal("move", errors.New("no room")) }
	lost := func() error { return mgengine.NewFailure(mgengine.Unknown, "move", "", errLost) }
	cases := []struct {
		name  string
		mover mover
		told  string
		asked string
	}{
		{
			name:  "nothing fails",
			told:  "moved to agent-2",
			asked: "copy, stop, hand over",
		},
		{
			name:  "the other engine has no room",
			mover: mover{copy: full},
			told:  "leaving/unknown",
			asked: "copy, cancel",
		},
		{
			name:  "the answer to the stop is lost",
			mover: mover{stop: lost},
			told:  "moved to agent-2",
			asked: "copy, stop, cancel, hand over",
		},
		{
			name: "the answers to the stop and to the cancel are lost",
			mover: mover{
				stop: lost,
				end:  lost,
			},
			told:  "leaving/unknown",
			asked: "copy, stop, cancel, cancel",
		},
		{
			name: "the other agent refuses",
			mover: mover{taker: func(int) (*mgrpc.StartReply, error) {
				return &mgrpc.StartReply{Fault: &mgrpc.Fault{Kind: string(mgproblem.Leaving)}}, nil
			}},
			told:  "leaving/unknown",
			asked: "copy, stop, hand over, cancel",
		},
		{
			name: "the other agent's first answer is lost",
			mover: mover{taker: func(n int) (*mgrpc.StartReply, error) {
				if n == 1 {
					return nil, errLost
				}
				return &mgrpc.StartReply{}, nil
			}},
			told:  "moved to agent-2",
			asked: "copy, stop, hand over, hand over",
		},
	}
	Convey("A generation leaves its engine, and", t, func() {
		for i := range cases {
			c := &cases[i]
			Convey(c.name, func() {
				seen := playMove(t, &c.mover)
				So(seen.told, ShouldEqual, c.told)
				So(strings.Join(c.mover.asked, ", "), ShouldEqual, c.asked)
				if c.mover.took != nil {
					So(len(c.mover.took.GetHad()), ShouldEqual, seen.tokens)
					So(c.mover.took.GetCopy(), ShouldEqual, "copy of long")
					So(c.mover.took.GetVia(), ShouldResemble, []string{"agent-1"})
				}
			})
		}
	})
}
