package mgagent_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// idleEngine accepts every generation, produces no token, and counts the starts.
type idleEngine struct {
	held   []mgengine.Generation
	sick   atomic.Bool
	starts atomic.Int64
}

func (e *idleEngine) calls() mgengine.Calls {
	engine := idleCalls()
	engine.Start = func(context.Context, mgengine.StartSpec) error {
		e.starts.Add(1)
		return nil
	}
	engine.Stream = silentStream
	engine.Load = func(context.Context) (mgengine.Load, error) {
		if e.sick.Load() {
			return mgengine.Load{}, errDown
		}
		return mgengine.Load{Models: []string{"tank-70b"}}, nil
	}
	engine.List = func(context.Context) ([]mgengine.Generation, error) { return e.held, nil }
	return engine
}

// runWithEngine runs an agent with the engine in virtual time.
func runWithEngine(t *testing.T, e *idleEngine, play func(ctx context.Context, agent *mgagent.Agent)) {
	synctest.Test(t, func(t *testing.T) {
		agent, err := newAgent(strings.Replace(table, "batch = 1\n", "batch = 16\n", 1), e.calls(), unchanged)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel, done := runAgent(agent)
		synctest.Wait()
		play(ctx, agent)
		cancel()
		<-done
	})
}

// An agent is replaced while its engine is full of long generations. If the new
// agent counts only its own starts, it takes the engine for empty and admits new
// work, and the engine preempts the old generations.
func TestAdoptedGenerationsUncounted(t *testing.T) {
	Convey("Generations that the engine already runs count against its memory", t, func() {
		e := &idleEngine{
			held: []mgengine.Generation{{
				ID:       "dossier",
				Model:    "tank-70b",
				Produced: 30_000,
			}},
		}
		headroom := int64(-1)
		runWithEngine(t, e, func(ctx context.Context, agent *mgagent.Agent) {
			offer, err := agent.Probe(ctx, &mgrpc.ProbeRequest{
				Account: "tankline",
				Service: "report",
				Model:   "tank-70b",
				Prompt:  10,
				Budget:  10_000,
			})
			if err == nil {
				headroom = offer.GetHeadroom()
			}
		})
		So(headroom, ShouldBeBetween, 0, 10_001)
	})
}

// An engine comes back from a crash with empty caches. As the least loaded of
// all it is assigned a full batch at once, and every caller there waits.
func TestReturnedEngineOverloaded(t *testing.T) {
	Convey("A recovered engine is limited to a share of its batch first", t, func() {
		e := &idleEngine{}
		early, late := int64(0), int64(0)
		runWithEngine(t, e, func(ctx context.Context, agent *mgagent.Agent) {
			e.sick.Store(true)
			mgclock.Clock{}.Sleep(ctx, mgclock.Second)
			e.sick.Store(false)
			mgclock.Clock{}.Sleep(ctx, mgclock.Second)
			for i := range 20 {
				_, _ = agent.Start(ctx, &mgrpc.StartRequest{
					Attempt:     fmt.Sprint("a", i),
					Incarnation: "i1",
					Account:     "tankline",
					Service:     "report",
					Model:       "tank-70b",
					Prompt:      "shift report",
					Budget:      50_000,
					Stamp:       int64(mgclock.Clock{}.Now()),
				})
			}
			synctest.Wait()
			early = e.starts.Load()
			mgclock.Clock{}.Sleep(ctx, 31*mgclock.Second)
			late = e.starts.Load()
		})
		So(early, ShouldBeBetweenOrEqual, 1, 6)
		So(late, ShouldBeGreaterThan, early)
	})
}
