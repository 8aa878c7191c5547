package mgagent_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgservice"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const table = `
version = 1

[[model]]
name = "tank-70b"
context = 65536
max = 8192

[[service]]
name = "report"
model = "tank-70b"
prefer = "steady"
deadline = 60000
max = 64

[[service]]
name = "ticket"
kind = "plain"
deadline = 5000
repeat = "never"

[[upstream]]
name = "engine-1"
models = ["tank-70b"]
memory = 40000
batch = 1
orders = "checked"

[[account]]
name = "tankline"
keys = ["be122e6c14afd1b20ab94a1a98ba052768381cb09e24a0d1cde7014300fb2ab0"]
services = ["report", "ticket"]
`

// newAgent returns the agent i1 of engine-1, with a table and an engine; change
// modifies its spec.
func newAgent(text string, engine mgengine.Calls, change func(spec *mgagent.Spec)) (*mgagent.Agent, error) {
	parsed, err := mgtable.Parse([]byte(text))
	if err != nil {
		return nil, err
	}
	spec := mgagent.Spec{
		Settings: mgsettings.Agent{
			Upstream:    "engine-1",
			Policy:      "ours",
			ReaderGrace: 60000,
			ResultTTL:   60000,
		},
		Incarnation:    "i1",
		Log:            logr.Discard(),
		Metrics:        mgmetric.New(),
		Signer:         &mgseal.Signer{},
		Engine:         mgengine.NewClient(engine),
		Table:          func() *mgtable.Table { return parsed },
		ObserveVersion: func(uint64, string) {},
	}
	change(&spec)
	return mgagent.New(spec)
}

// unchanged leaves newAgent's spec as it is.
func unchanged(*mgagent.Spec) {}

// idleCalls returns the calls of an engine that runs nothing and reports
// nothing.
func idleCalls() mgengine.Calls {
	return mgengine.Calls{
		Load:   func(context.Context) (mgengine.Load, error) { return mgengine.Load{}, nil },
		Events: func(context.Context, uint64) ([]mgengine.Event, error) { return nil, nil },
		Cancel: func(context.Context, string) error { return nil },
		List:   func(context.Context) ([]mgengine.Generation, error) { return nil, nil },
	}
}

// runAgent runs an agent until cancel; done is closed when it has ended.
func runAgent(agent *mgagent.Agent) (ctx context.Context, cancel func(), done chan struct{}) {
	ctx, cancel = context.WithCancel(context.Background())
	done = make(chan struct{})
	go func() {
		defer close(done)
		agent.Run(ctx)
	}()
	return ctx, cancel, done
}

// harness is an agent in virtual time with a scripted engine and service. It
// counts what actually ran.
type harness struct {
	agent *mgagent.Agent
	clock mgclock.Clock
	ctx   context.Context
	stop  func()
	done  chan struct{} // closed once the agent has ended

	mu                sync.Mutex
	startResult       func(n int) error     // the engine's answer to the n-th start
	engineDown        atomic.Bool           // the engine's load report can't be read
	engineGenerations []mgengine.Generation // the generations that the engine lists
	startCount        int
	ran               map[string]int
	results           []string
}

var errDown = mgengine.NewFailure(mgengine.NotStarted, "start", "refused", nil)

var errNoAnswer = mgengine.NewFailure(mgengine.Unknown, "start", "no answer", nil)

func newHarness(stream streamFunc) (*harness, error) {
	r := &harness{
		ran:         map[string]int{},
		startResult: func(int) error { return nil },
	}
	engine := idleCalls()
	engine.Start = r.engineStart
	engine.Stream = stream
	engine.Load = r.load
	engine.List = r.list
	agent, err := newAgent(table, engine, func(spec *mgagent.Spec) {
		spec.Settings.ReaderGrace = 5000
		spec.Settings.ResultTTL = 5000
		spec.Settings.MaxWaiting = 8
		spec.Service = mgservice.NewClient(r.call)
	})
	r.agent = agent
	return r, err
}

// engineStart runs the generation unless the engine attests that it did not.
func (r *harness) engineStart(_ context.Context, spec mgengine.StartSpec) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startCount++
	err := r.startResult(r.startCount)
	if mgengine.KindOf(err) != mgengine.NotStarted || err == nil {
		r.ran[spec.ID]++
	}
	return err
}

// streamFunc opens a generation's stream.
type streamFunc func(ctx context.Context, id string, from uint64) (*mgengine.TokenStream, error)

// silentStream sends no token until its reader leaves, so generations keep
// running and occupy the batch.
func silentStream(context.Context, string, uint64) (*mgengine.TokenStream, error) {
	return mgengine.NewTokenStream(func(ctx context.Context) (mgengine.Token, error) {
		var clock mgclock.Clock
		clock.Sleep(ctx, mgclock.Second)
		return mgengine.Token{}, ctx.Err()
	}, nil), nil
}

func (r *harness) list(context.Context) ([]mgengine.Generation, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engineGenerations, nil
}

func (r *harness) load(context.Context) (mgengine.Load, error) {
	if r.engineDown.Load() {
		return mgengine.Load{}, errDown
	}
	return mgengine.Load{}, nil
}

func (r *harness) call(_ context.Context, spec mgservice.CallSpec) (mgservice.Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[spec.Operation]++
	return mgservice.Reply{
		Status: 200,
	}, nil
}

// startAttempt sends a copy of an attempt's start and records the result.
func (r *harness) startAttempt(id, incarnation string) {
	reply, err := r.agent.Start(r.ctx, &mgrpc.StartRequest{
		Attempt:     id,
		Incarnation: incarnation,
		Account:     "tankline",
		Service:     "report",
		Model:       "tank-70b",
		Prompt:      "shift report",
		Budget:      30_000,
		Stamp:       int64(r.clock.Now()),
	})
	switch {
	case err != nil:
		r.results = append(r.results, err.Error())
	case reply.GetFault() != nil:
		r.results = append(r.results, reply.GetFault().GetKind()+"/"+reply.GetFault().GetOutcome())
	default:
		r.results = append(r.results, "ok")
	}
}

func (r *harness) cancel(id string, stamp mgclock.Millis) {
	reply, err := r.agent.Cancel(r.ctx, &mgrpc.CancelRequest{
		Attempt:     id,
		Incarnation: "i1",
		Stamp:       int64(stamp),
	})
	if err != nil {
		r.results = append(r.results, err.Error())
		return
	}
	r.results = append(r.results, reply.GetOutcome())
}

func (r *harness) sleep(span mgclock.Millis) {
	r.clock.Sleep(r.ctx, span)
	synctest.Wait()
}

// invoke calls the service under an operation minted before and records the
// result.
func (r *harness) invoke(operation string) {
	reply, err := r.agent.Invoke(r.ctx, &mgrpc.InvokeRequest{
		Account:   "tankline",
		Service:   "ticket",
		Method:    "POST",
		Path:      "/tickets",
		Operation: operation,
		Budget:    5000,
	})
	if err != nil {
		r.results = append(r.results, err.Error())
		return
	}
	r.results = append(r.results, reply.GetFault().GetKind()+"/"+reply.GetOutcome())
}

func (r *harness) mint() string {
	reply, err := r.agent.Mint(r.ctx, &mgrpc.MintRequest{
		Account: "tankline",
		Service: "ticket",
	})
	if err != nil {
		r.results = append(r.results, err.Error())
	}
	return reply.GetOperation()
}

// runHarness runs play with an agent in virtual time.
func runHarness(t *testing.T, play func(r *harness)) { runHarnessWith(t, silentStream, play) }

// runHarnessWith is like runHarness with the given token stream.
func runHarnessWith(t *testing.T, stream streamFunc, play func(r *harness)) {
	synctest.Test(t, func(t *testing.T) {
		r, err := newHarness(stream)
		if err != nil {
			t.Fatal(err)
		}
		r.ctx, r.stop, r.done = runAgent(r.agent)
		synctest.Wait()
		play(r)
		r.stop()
		<-r.done
	})
}
