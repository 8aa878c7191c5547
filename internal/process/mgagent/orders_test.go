package mgagent_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgplacement"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// orderedEngine is an engine that records its orders and when they arrived.
type orderedEngine struct {
	mu         sync.Mutex
	clock      mgclock.Clock
	held       []string
	newest     uint64      // the highest fencing number it has seen
	isReplaced atomic.Bool // another agent has replaced this one at the engine
	orders     []mgengine.OrderSpec
	times      []mgclock.Millis
	restartAt  mgclock.Millis // when it restarts without its models, 0 for never
}

func (o *orderedEngine) load(context.Context) (mgengine.Load, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.restartAt != 0 && o.clock.Now() >= o.restartAt {
		o.held = nil
		o.restartAt = 0
	}
	return mgengine.Load{Models: o.held}, nil
}

func (o *orderedEngine) order(_ context.Context, spec mgengine.OrderSpec) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders = append(o.orders, spec)
	o.times = append(o.times, o.clock.Now())
	if spec.Fence < o.newest {
		return mgengine.NewFenceError(spec.Fence, o.newest)
	}
	o.newest = spec.Fence
	o.held = []string{spec.Model}
	return nil
}

// An agent that was replaced still sends an order, and its engine spends minutes
// on loading a model that nobody requested; or its successor sends none, and no
// engine has the model that callers wait for. Each case runs for two minutes.
func TestStaleOrMissingOrder(t *testing.T) {
	const others = 1 << 62 // far above the numbers of this agent
	cases := []struct {
		name   string
		checks string
		held   []string
		newest uint64
		ours   bool
		leaves bool
		paused bool // between the decision on an order and its sending
		ends   mgclock.Millis
		orders int
		first  mgclock.Millis // earliest time of an order
	}{
		{
			name:   "the engine lacks its model and gets it by one order",
			checks: mgtable.OrdersChecked,
			held:   []string{"old"},
			ours:   true,
			orders: 1,
		},
		{
			name:   "the engine has its model",
			checks: mgtable.OrdersChecked,
			held:   []string{"tank-70b"},
			ours:   true,
		},
		{
			name:   "another agent has replaced this one",
			checks: mgtable.OrdersChecked,
			held:   []string{"old"},
		},
		{
			name:   "this agent is leaving",
			checks: mgtable.OrdersChecked,
			held:   []string{"old"},
			ours:   true,
			leaves: true,
		},
		{
			name:   "the engine ignores fencing numbers: the agent waits until its predecessor's orders have expired",
			checks: mgtable.OrdersIgnored,
			held:   []string{"old"},
			ours:   true,
			orders: 1,
			first:  12 * mgclock.Second,
		},
		{
			name:   "the engine has seen a higher number: the next order is higher still",
			checks: mgtable.OrdersChecked,
			held:   []string{"old"},
			newest: others,
			ours:   true,
			orders: 2,
		},
		{
			name:   "the engine restarts without its model and gets it again",
			checks: mgtable.OrdersChecked,
			held:   []string{"tank-70b"},
			ours:   true,
			ends:   mgclock.Minute,
			orders: 1,
			first:  mgclock.Minute,
		},
		{
			name:   "the process is paused before it sends, and is replaced meanwhile",
			checks: mgtable.OrdersIgnored,
			held:   []string{"old"},
			ours:   true,
			paused: true,
		},
	}
	Convey("Orders", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				engine := &orderedEngine{
					held:   c.held,
					newest: c.newest,
				}
				synctest.Test(t, func(t *testing.T) {
					held := false
					log := logr.Discard()
					if c.paused {
						log = pausingLog(t.Context(), engine, &held)
					}
					agent, err := orderAgent(engine, log, c.checks, c.ours)
					if err != nil {
						t.Fatal(err)
					}
					ctx, cancel := context.WithTimeout(context.Background(), (2 * mgclock.Minute).Duration())
					defer cancel()
					if c.leaves {
						agent.Leave()
					}
					start := engine.clock.Now()
					if c.ends > 0 {
						engine.restartAt = start + c.ends
					}
					agent.Run(ctx)
					if held != c.paused {
						t.Errorf("an order was held before it left: %v", held)
					}
					for i := range engine.times {
						engine.times[i] -= start
					}
				})
				So(len(engine.orders), ShouldEqual, c.orders)
				for i, order := range engine.orders {
					So(order.Model, ShouldEqual, "tank-70b")
					So(engine.times[i], ShouldBeGreaterThanOrEqualTo, c.first)
					if i > 0 {
						So(order.Fence, ShouldBeGreaterThan, engine.orders[i-1].Fence)
					}
				}
			})
		}
	})
}

// pausingLog returns a log that pauses the agent for three seconds at the line
// before an order is sent, while another agent replaces it.
func pausingLog(ctx context.Context, engine *orderedEngine, paused *bool) logr.Logger {
	return funcr.New(func(_, line string) {
		if !strings.Contains(line, "an order is about to be sent") {
			return
		}
		*paused = true
		engine.isReplaced.Store(true)
		engine.clock.Sleep(ctx, 3*mgclock.Second)
	}, funcr.Options{
		Verbosity: 9, // all lines
	})
}

func orderAgent(engine *orderedEngine, log logr.Logger, checks string, ours bool) (*mgagent.Agent, error) {
	text := strings.Replace(table, `orders = "checked"`, `orders = "`+checks+`"`, 1)
	members := mgmember.New("agent-1")
	members.AdoptList(0, mgplatform.VMList{
		Version: 1,
		VMs: []mgplatform.VM{{
			Name:     "agent-1",
			Kind:     mgplatform.AgentKind,
			Addr:     "agent-1",
			Upstream: "engine-1",
			Models:   []string{"tank-70b"},
			State:    mgplatform.Live,
		}},
	})
	calls := idleCalls()
	calls.Load = engine.load
	calls.Order = engine.order
	return newAgent(text, calls, func(spec *mgagent.Spec) {
		spec.Plan = func() *mgplacement.Plan { return mgplacement.Assign(spec.Table(), members.View()) }
		spec.IsCurrent = func() (mgclock.Millis, bool) { return engine.clock.Now(), ours && !engine.isReplaced.Load() }
		spec.Log = log
		spec.StartedUnix = mgclock.UnixMillis()
	})
}
