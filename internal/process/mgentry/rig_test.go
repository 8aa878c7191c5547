package mgentry_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglink"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgservice"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgentry"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgnetwork"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
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
deadline = 4000
max = 4096

[[service]]
name = "ticket"
kind = "plain"
deadline = 5000
repeat = "never"

[[upstream]]
name = "engine-1"
models = ["tank-70b"]
memory = 40000
batch = 32
orders = "checked"

[[upstream]]
name = "engine-2"
models = ["tank-70b"]
memory = 40000
batch = 32
orders = "ignored"

[[upstream]]
name = "books"
kind = "service"
services = ["ticket"]
batch = 16

[[account]]
name = "tankline"
keys = ["be122e6c14afd1b20ab94a1a98ba052768381cb09e24a0d1cde7014300fb2ab0"]
services = ["report", "ticket"]

[[account]]
name = "cooperativa"
keys = ["bf06daad306a74c0998dc01b84ce9d6278f5a81ce01a395427145c09aa092709"]
services = ["report"]
`

const (
	beat mgclock.Millis = 250
	// maxSilence is the longest time that a link may be silent.
	maxSilence = 3 * beat
	// callTimeout bounds a plain-service call of the rig's entries.
	callTimeout = 5 * mgclock.Second
)

// rig is a whole deployment on an in-memory network in virtual time: real entries
// and agents, with stand-ins for the engines and the service.
type rig struct {
	mgnetwork.Network
	clock        mgclock.Clock
	seal         mgseal.Signer
	table        *mgtable.Table
	ctx          context.Context
	engines      map[string]*mgstandin.Engine
	agents       map[string]*mgagent.Agent
	entries      map[string]*mgentry.Entry
	books        *mgstandin.Service
	isolated     atomic.Bool // agents know of no other agents
	list         mgplatform.VMList
	mu           sync.Mutex // guards the fields below
	stops        map[string]func()
	incarnations int
	wrapFrames   func(http.Handler) http.Handler // wraps the agents' handlers; may be nil
}

// engineMemory is the memory of each engine in the table, in tokens.
const engineMemory = 40000

// play runs a scenario on a rig with the given number of engines, from engine-1 on.
func play(t *testing.T, engines int, scenario func(r *rig)) {
	playWith(t, engines, engineMemory, scenario)
}

// playWith is like play, but the engines have other memory than the table says.
func playWith(t *testing.T, engines, memory int, scenario func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		parsed, err := mgtable.Parse([]byte(table))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		r := &rig{
			ctx:     ctx,
			table:   parsed,
			engines: map[string]*mgstandin.Engine{},
			agents:  map[string]*mgagent.Agent{},
			entries: map[string]*mgentry.Entry{},
			stops:   map[string]func(){},
			books:   mgstandin.NewService(mgstandin.ServiceSpec{}, mgclock.Clock{}),
		}
		r.list.Version = 1
		var running sync.WaitGroup
		for i := range engines {
			name := fmt.Sprint("engine-", i+1)
			e := mgstandin.NewEngine(mgstandin.EngineSpec{
				Model: mgmodel.Spec{
					Memory:   memory,
					MaxBatch: 32,
				},
			}, mgclock.Clock{})
			e.SetClient(mgdial.NewClientWith(r.Dial(name)))
			r.engines[name] = e
			running.Go(func() { e.Run(ctx) })
			r.Serve(name, e.Handler())
			r.addVM("agent-"+name, name, []string{"tank-70b"}, nil)
		}
		r.Serve("books", r.books.Handler())
		r.addVM("agent-books", "books", nil, []string{"ticket"})
		for _, vm := range r.list.VMs {
			r.agent(vm.Name, vm.Upstream)
		}
		r.entry("entry-1")
		r.entry("entry-2")
		synctest.Wait()
		scenario(r)
		for _, name := range r.running() {
			r.kill(name)
		}
		cancel()
		r.Close()
		running.Wait()
	})
}

func (r *rig) addVM(name, upstream string, models, services []string) {
	vm := agentVM(name, upstream)
	vm.Addr = name + ":80"
	vm.Models = models
	vm.Services = services
	r.list.VMs = append(r.list.VMs, vm)
}

// agent starts an agent and replaces the one of the same name.
func (r *rig) agent(name, upstream string) {
	r.kill(name)
	client := mgdial.NewClientWith(r.Dial(name))
	a, err := mgagent.New(mgagent.Spec{
		Settings: mgsettings.Agent{
			Process: mgsettings.Process{
				Name:              name,
				Zone:              "a",
				HeartbeatInterval: int64(beat),
			},
			Upstream:    upstream,
			UpstreamURL: "http://" + upstream,
			ReaderGrace: 15000,
			ResultTTL:   60000,
			MaxWaiting:  512,
			Policy:      "ours",
		},
		Incarnation:    r.newIncarnation(),
		Log:            logr.Discard(),
		Metrics:        mgmetric.New(),
		Signer:         &r.seal,
		Engine:         mgengine.NewHTTP("http://"+upstream, client),
		Service:        mgservice.NewHTTP("http://"+upstream, client),
		Table:          func() *mgtable.Table { return r.table },
		ObserveVersion: func(uint64, string) {},
		OtherAgents:    func(string) []mgagent.OtherAgent { return r.others(name) },
	})
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	r.agents[name] = a
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(r.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	routes := a.Handler()
	if r.wrapFrames != nil {
		routes = r.wrapFrames(routes)
	}
	r.Serve(name, routes)
	r.registerStop(name, func() {
		r.Kill(name)
		cancel()
		<-done
	})
}

// others returns the agents of engines except the named one.
func (r *rig) others(name string) []mgagent.OtherAgent {
	var others []mgagent.OtherAgent
	for _, vm := range r.list.VMs {
		if r.isolated.Load() || vm.Name == name || len(vm.Models) == 0 {
			continue
		}
		others = append(others, mgagent.OtherAgent{
			Name:  vm.Name,
			Zone:  "a",
			Agent: mgrpc.NewAgentProtobufClient("http://"+vm.Name, &http.Client{Transport: r.Transport(name, false)}),
		})
	}
	return others
}

// entry starts an entry and replaces the one of the same name.
func (r *rig) entry(name string) {
	r.kill(name)
	members := mgmember.New(name)
	members.AdoptList(r.clock.Now(), r.list)
	spec := entrySpec(r.table, members)
	spec.Settings.Name = name
	spec.Settings.CallerTimeout = 10000
	spec.Settings.ProbeTimeout = 200
	spec.Settings.CallTimeout = int64(callTimeout)
	spec.Signer = &r.seal
	spec.ReportFailed = func(agent string) { members.RecordFailure(r.clock.Now(), agent) }
	spec.ReportAnnouncement = func(agent, incarnation string, leaving bool) {
		members.RecordMessage(r.clock.Now(), agent, incarnation, leaving)
	}
	spec.Calls = &mglink.RetryTransport{
		Pooled:   r.Transport(name, false),
		Second:   r.Transport(name, true),
		Interval: beat,
	}
	spec.Frames = r.Transport(name, true)
	e := mgentry.New(spec, r.newIncarnation())
	r.mu.Lock()
	r.entries[name] = e
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(r.ctx)
	go func() {
		for r.clock.Sleep(ctx, mgclock.Second) {
			members.Tick(r.clock.Now())
		}
	}()
	r.Serve(name, e.Handler())
	r.registerStop(name, func() {
		r.Kill(name)
		cancel()
	})
}

// kill stops a process without notice.
func (r *rig) kill(name string) {
	r.mu.Lock()
	stop := r.stops[name]
	delete(r.stops, name)
	r.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// registerStop sets the function that stops a process.
func (r *rig) registerStop(name string, stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops[name] = stop
}

func (r *rig) running() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.stops))
}

// newIncarnation returns the name of a new incarnation of a process.
func (r *rig) newIncarnation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnations++
	return fmt.Sprintf("life-%02d", r.incarnations)
}

// busyEngine returns an engine that has an unfinished generation, or nil.
func (r *rig) busyEngine() *mgstandin.Engine {
	for _, e := range r.engines {
		if e.Load(); len(e.List()) > 0 && !e.List()[0].Done {
			return e
		}
	}
	return nil
}

// reclaim announces to the engine with an unfinished generation that it will be
// stopped, and kills it when the notice period ends.
func (r *rig) reclaim(notice mgclock.Millis) {
	e := r.busyEngine()
	e.Set(mgstandin.Fault{
		Kind:  mgstandin.Leave,
		Delay: notice,
	})
	r.after(notice, func() { e.Set(mgstandin.Fault{Kind: mgstandin.Die}) })
}

// after runs callback after a delay, concurrently with the scenario.
func (r *rig) after(delay mgclock.Millis, callback func()) {
	go func() {
		r.clock.Sleep(r.ctx, delay)
		callback()
	}()
}

// injectFault makes the next calls of the service fail.
func (r *rig) injectFault(kind string, calls int) {
	r.books.Set(mgstandin.Fault{
		Kind:  kind,
		Times: calls,
	})
}

// slowService delays the service's replies.
func (r *rig) slowService(delay mgclock.Millis) {
	r.books.Set(mgstandin.Fault{
		Kind:  mgstandin.Slow,
		Delay: delay,
	})
}

// breakStream makes engine-1's streams fail after some tokens.
func (r *rig) breakStream(kind string, tokens uint64) {
	r.engines["engine-1"].Set(mgstandin.Fault{
		Kind:  kind,
		After: tokens,
	})
}
