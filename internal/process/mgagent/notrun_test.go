package mgagent_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

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

// rig is an agent in virtual time with an engine and a service that do as they
// are told. It counts what truly ran.
type rig struct {
	agent *mgagent.Agent
	clock mgclock.Clock
	ctx   context.Context
	stop  func()
	done  chan struct{} // closed once the agent has ended

	mu     sync.Mutex
	starts func(n int) error     // the engine's word on its n-th start
	sick   atomic.Bool           // the engine's load can't be read
	held   []mgengine.Generation // what the engine lists
	tried  int
	ran    map[string]int
	told   []string
}

var errDown = mgengine.NewFailure(mgengine.NotStarted, "start", "refused", nil)

var errSilent = mgengine.NewFailure(mgengine.Unknown, "start", "no answer", nil)

func newRig(ctx context.Context, stream streamSeam) (*rig, error) {
	parsed, err := mgtable.Parse([]byte(table))
	if err != nil {
		return nil, err
	}
	r := &rig{
		ctx:    ctx,
		ran:    map[string]int{},
		starts: func(int) error { return nil },
	}
	r.agent, err = mgagent.New(mgagent.Spec{
		Settings: mgsettings.Agent{
			Upstream: "engine-1",
			Grace:    5000,
			Keep:     5000,
			Queue:    8,
			Policy:   "ours",
		},
		Incarnation: "i1",
		Log:         logr.Discard(),
		Metrics:     mgmetric.New(),
		Seal:        &mgseal.Signer{},
		Engine: mgengine.NewClient(mgengine.Seams{
			Start:  r.start,
			Stream: stream,
			Cancel: func(context.Context, string) error { return nil },
			Load:   r.load,
			Events: func(context.Context, uint64) ([]mgengine.Event, error) { return nil, nil },
			List:   r.list,
		}),
		Service: mgservice.NewClient(r.call),
		Table:   func() *mgtable.Table { return parsed },
		Seen:    func(uint64, string) {},
	})
	return r, err
}

// start runs the generation unless the engine attests that it did not.
func (r *rig) start(_ context.Context, spec mgengine.StartSpec) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried++
	err := r.starts(r.tried)
	if mgengine.KindOf(err) != mgengine.NotStarted || err == nil {
		r.ran[spec.ID]++
	}
	return err
}

// streamSeam opens a generation's stream.
type streamSeam func(ctx context.Context, id string, from uint64) (*mgengine.TokenStream, error)

// endless gives no token until its reader leaves: generations run on and hold
// the batch.
func endless(context.Context, string, uint64) (*mgengine.TokenStream, error) {
	return mgengine.NewTokenStream(func(ctx context.Context) (mgengine.Token, error) {
		var clock mgclock.Clock
		clock.Sleep(ctx, mgclock.Second)
		return mgengine.Token{}, ctx.Err()
	}, nil), nil
}

func (r *rig) list(context.Context) ([]mgengine.Generation, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held, nil
}

func (r *rig) load(context.Context) (mgengine.Load, error) {
	if r.sick.Load() {
		return mgengine.Load{}, errDown
	}
	return mgengine.Load{}, nil
}

func (r *rig) call(_ context.Context, spec mgservice.CallSpec) (mgservice.Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[spec.Operation]++
	return mgservice.Reply{
		Status: 200,
	}, nil
}

// begin sends a copy of an attempt's start and notes what is told.
func (r *rig) begin(id, incarnation string) {
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
		r.told = append(r.told, err.Error())
	case reply.GetFault() != nil:
		r.told = append(r.told, reply.GetFault().GetKind()+"/"+reply.GetFault().GetOutcome())
	default:
		r.told = append(r.told, "ok")
	}
}

func (r *rig) cancel(id string, stamp mgclock.Millis) {
	reply, err := r.agent.Cancel(r.ctx, &mgrpc.CancelRequest{
		Attempt:     id,
		Incarnation: "i1",
		Stamp:       int64(stamp),
	})
	if err != nil {
		r.told = append(r.told, err.Error())
		return
	}
	r.told = append(r.told, reply.GetOutcome())
}

func (r *rig) sleep(span mgclock.Millis) {
	r.clock.Sleep(r.ctx, span)
	synctest.Wait()
}

// invoke makes a write under an operation minted before.
func (r *rig) invoke(operation string) {
	reply, err := r.agent.Invoke(r.ctx, &mgrpc.InvokeRequest{
		Account:   "tankline",
		Service:   "ticket",
		Method:    "POST",
		Path:      "/tickets",
		Operation: operation,
		Budget:    5000,
	})
	if err != nil {
		r.told = append(r.told, err.Error())
		return
	}
	r.told = append(r.told, reply.GetFault().GetKind()+"/"+reply.GetOutcome())
}

func (r *rig) mint() string {
	reply, err := r.agent.Mint(r.ctx, &mgrpc.MintRequest{
		Account: "tankline",
		Service: "ticket",
	})
	if err != nil {
		r.told = append(r.told, err.Error())
	}
	return reply.GetOperation()
}

// A shift lead is told "not run" and finds that the job ran, or is left in
// doubt where none is due. Each case plays one ending of a request, with what
// is told at each step; in none did something run that was told not to have.
func TestTold(t *testing.T) {
	cases := []struct {
		story string
		play  func(r *rig)
		told  string
		ran   int
	}{
		{
			story: "the engine's first answer is lost, then it refuses",
			play: func(r *rig) {
				r.starts = func(n int) error { return []error{errSilent, errDown}[n-1] }
				stamp := r.clock.Now()
				r.begin("a", "i1")
				r.sleep(mgclock.Second)
				r.cancel("a", stamp)
			},
			told: "[ok unknown]",
			ran:  1,
		},
		{
			story: "the engine refuses at once",
			play: func(r *rig) {
				r.starts = func(int) error { return errDown }
				stamp := r.clock.Now()
				r.begin("a", "i1")
				r.sleep(mgclock.Second)
				r.cancel("a", stamp)
			},
			told: "[ok notrun]",
		},
		{
			story: "a copy of its start comes when the engine has become unreachable",
			play: func(r *rig) {
				r.begin("a", "i1")
				r.sick.Store(true)
				r.sleep(mgclock.Second)
				r.begin("a", "i1")
			},
			told: "[ok ok]",
			ran:  1,
		},
		{
			story: "refused while the engine is unreachable, and a copy comes later",
			play: func(r *rig) {
				r.sick.Store(true)
				r.sleep(mgclock.Second)
				r.begin("a", "i1")
				r.sick.Store(false)
				r.sleep(mgclock.Second)
				r.begin("a", "i1")
				r.sleep(mgclock.Second)
			},
			told: "[crowded/notrun tombstone/notrun]",
		},
		{
			story: "cancelled before its start arrives",
			play: func(r *rig) {
				r.cancel("a", r.clock.Now())
				r.begin("a", "i1")
				r.sleep(mgclock.Second)
			},
			told: "[notrun tombstone/notrun]",
		},
		{
			story: "cancelled in the queue",
			play: func(r *rig) {
				r.begin("a", "i1")
				r.sleep(mgclock.Second)
				r.begin("b", "i1")
				r.cancel("b", r.clock.Now())
				r.cancel("a", r.clock.Now())
				r.sleep(mgclock.Minute)
			},
			told: "[ok ok notrun unknown]",
			ran:  1,
		},
		{
			story: "its start was meant for the agent before",
			play:  func(r *rig) { r.begin("a", "i0") },
			told:  "[incarnation/unknown]",
		},
		{
			story: "a write begins when the upstream is leaving",
			play: func(r *rig) {
				early, late := r.mint(), r.mint()
				r.invoke(early)
				r.agent.Leave()
				r.invoke(early)
				r.invoke(late)
				r.invoke(late)
			},
			told: "[/done /done leaving/notrun tombstone/notrun]",
			ran:  1,
		},
	}
	Convey("What is told is true", t, func() {
		for _, c := range cases {
			Convey(c.story, func() {
				var told string
				var ran int
				bubble(t, func(r *rig) {
					c.play(r)
					told = fmt.Sprint(r.told)
					r.mu.Lock()
					defer r.mu.Unlock()
					for _, n := range r.ran {
						ran += n
					}
				})
				So(told, ShouldEqual, c.told)
				So(ran, ShouldEqual, c.ran)
			})
		}
	})
}

// An agent refuses all work after some hours. Callers had left while their
// requests waited, and the record kept an entry for each for good.
func TestRecordIsFreed(t *testing.T) {
	Convey("A request that nobody reads leaves the record", t, func() {
		held := -1
		bubble(t, func(r *rig) {
			for _, id := range []string{"a", "b", "c", "d"} {
				r.begin(id, "i1")
			}
			r.sleep(2 * mgclock.Minute)
			r.cancel("e", r.clock.Now()) // lets the record forget
			held = r.agent.State().Attempts
		})
		So(held, ShouldEqual, 1)
	})
}

// A planned stop takes longer than its longest drain. The agent had picked up a
// generation of its predecessor's when a reader asked for it, and read it on
// after it was told to end.
func TestStopEndsAdopted(t *testing.T) {
	Convey("A generation picked up late ends with the agent", t, func() {
		ended := false
		bubble(t, func(r *rig) {
			r.mu.Lock()
			r.held = []mgengine.Generation{{
				ID: "x",
			}}
			r.mu.Unlock()
			asked, gone := context.WithCancel(r.ctx)
			go r.agent.Routes().ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(asked, "GET", "/frames/x?from=1", nil))
			r.sleep(mgclock.Second)
			gone()
			r.stop()
			select {
			case <-r.done:
				ended = true
			case <-r.clock.After(mgclock.Minute):
				r.cancel("x", 0) // so that the test itself ends
			}
		})
		So(ended, ShouldBeTrue)
	})
}

// bubble plays with an agent in virtual time.
func bubble(t *testing.T, play func(r *rig)) { bubbleWith(t, endless, play) }

// bubbleWith is bubble with streams of the caller's.
func bubbleWith(t *testing.T, stream streamSeam, play func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r, err := newRig(ctx, stream)
		if err != nil {
			t.Fatal(err)
		}
		r.stop = cancel
		r.done = make(chan struct{})
		go func() {
			defer close(r.done)
			r.agent.Run(ctx)
		}()
		synctest.Wait()
		play(r)
		cancel()
		<-r.done
	})
}
