package mgdemo

import (
	"context"
	_ "embed" // for sampleTable
	"fmt"
	"io"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgnode"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgloopback"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

//go:embed table.toml
var sampleTable []byte

// secret is the shared secret of the demo's entries and agents.
const secret = "sample-secret-of-the-demo"

const (
	region = "south"
	// engineSpeed is the factor by which the demo's engines are faster than their
	// model's default, so that long reports end within seconds.
	engineSpeed = 4
	// listLag is the delay of the demo's list of VMs.
	listLag = 500 * mgclock.Millis(1)
	// drainTimeout is the drain timeout of the demo's processes.
	drainTimeout = 2 * mgclock.Second
)

// Spec describes a deployment. Defaults are in brackets.
type Spec struct {
	Entries int       // [2]
	Engines int       // at most 3, named engine-1 and so on [3]
	Log     io.Writer // the processes' logs [discarded]
	Level   string    // log level [error]
}

// Deployment is a whole system in one process, made by Start.
type Deployment struct {
	spec        Spec
	platform    *mgstandin.Platform
	engines     map[string]*mgstandin.Engine
	clients     map[string]mgengine.Client
	services    map[string]*mgstandin.Service
	entries     []string
	processes   map[string]*process
	vms         []mgplatform.VM
	closers     []func()
	platformURL string
}

// process is a running entry or agent of the deployment.
type process struct {
	node *mgnode.Node
	stop context.CancelFunc
	done chan error
}

// Start starts a deployment and returns when its entries and agents are ready.
func Start(ctx context.Context, spec Spec) (*Deployment, error) {
	spec = spec.withDefaults()
	d := &Deployment{
		spec:      spec,
		engines:   map[string]*mgstandin.Engine{},
		clients:   map[string]mgengine.Client{},
		services:  map[string]*mgstandin.Service{},
		processes: map[string]*process{},
	}
	steps := []func() error{d.startPlatform, d.startEngines, d.startServices, d.startEntries, d.publishVMs}
	for _, step := range steps {
		if err := step(); err != nil {
			d.Close()
			return nil, err
		}
	}
	if err := d.waitReady(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (s Spec) withDefaults() Spec {
	if s.Entries <= 0 {
		s.Entries = 2
	}
	if s.Engines <= 0 || s.Engines > 3 {
		s.Engines = 3
	}
	if s.Log == nil {
		s.Log = io.Discard
	}
	if s.Level == "" {
		s.Level = "error"
	}
	return s
}

// zone assigns the VMs to three availability zones in turn.
func zone(i int) string { return string(rune('a' + i%3)) }

func (d *Deployment) startPlatform() error {
	d.platform = mgstandin.NewPlatform(mgstandin.PlatformSpec{Lag: listLag}, mgclock.Clock{})
	server, err := mgstandin.Listen("127.0.0.1:0", d.platform.Handler())
	if err != nil {
		return err
	}
	d.platformURL = server.URL()
	d.closers = append(d.closers, func() { _ = server.Close() })
	return d.platform.PutTable(sampleTable)
}

func (d *Deployment) startEngines() error {
	for i := range d.spec.Engines {
		name := fmt.Sprintf("engine-%d", i+1)
		engine := mgstandin.NewEngine(mgstandin.EngineSpec{
			Model: mgmodel.Spec{
				Memory:   40000,
				MaxBatch: 32,
				Speed:    engineSpeed,
			},
			Serves: []string{"tank-70b", "mar-70b"},
			Fenced: i%2 == 0,
			Lag:    500,
			Late:   200,
			Gap:    50,
		}, mgclock.Clock{})
		ctx, cancel := context.WithCancel(context.Background())
		var stepping sync.WaitGroup
		stepping.Go(func() { engine.Run(ctx) })
		server, err := mgstandin.Listen("127.0.0.1:0", engine.Handler())
		if err != nil {
			cancel()
			return err
		}
		d.closers = append(d.closers, func() {
			_ = server.Close()
			cancel()
			stepping.Wait()
		})
		d.engines[name] = engine
		d.clients[name] = mgengine.NewHTTP(server.URL(), nil)
		if err := d.startAgent(name, i, server.URL(), []string{"tank-70b", "mar-70b"}, nil); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startServices() error {
	offered := map[string][]string{
		"books":  {"ticket"},
		"portal": {"status", "submission"},
	}
	i := d.spec.Engines
	for name, services := range offered {
		service := mgstandin.NewService(mgstandin.ServiceSpec{
			Name:  name,
			Delay: 5,
		}, mgclock.Clock{})
		server, err := mgstandin.Listen("127.0.0.1:0", service.Handler())
		if err != nil {
			return err
		}
		d.closers = append(d.closers, func() { _ = server.Close() })
		d.services[name] = service
		if err := d.startAgent(name, i, server.URL(), nil, services); err != nil {
			return err
		}
		i++
	}
	return nil
}

// commonSettings returns the settings that entries and agents share.
// processMemory is the memory of each process of the deployment in MB, all of which are in one process.
const processMemory = 128

func (d *Deployment) commonSettings(name string, i int) (mgsettings.Process, error) {
	peer, err := mgloopback.Addr()
	if err != nil {
		return mgsettings.Process{}, err
	}
	admin, err := mgloopback.Addr()
	if err != nil {
		return mgsettings.Process{}, err
	}
	return mgsettings.Process{
		Name:              name,
		Zone:              zone(i),
		Region:            region,
		PeerAddr:          peer,
		AdminAddr:         admin,
		PlatformURL:       d.platformURL,
		Secret:            secret,
		LogLevel:          d.spec.Level,
		DrainTimeout:      int64(drainTimeout),
		HeartbeatInterval: 250,
		Memory:            processMemory,
	}, nil
}

func (d *Deployment) startAgent(upstream string, i int, address string, models, services []string) error {
	name := "agent-" + upstream
	common, err := d.commonSettings(name, i)
	if err != nil {
		return err
	}
	settings := mgsettings.Agent{
		Process:     common,
		Upstream:    upstream,
		UpstreamURL: address,
		ReaderGrace: 15000,
		ResultTTL:   60000,
		MaxWaiting:  512,
		Policy:      "ours",
	}
	d.vms = append(d.vms, mgplatform.VM{
		Name:            name,
		Kind:            "agent",
		Addr:            common.PeerAddr,
		Zone:            common.Zone,
		Region:          region,
		Upstream:        upstream,
		Models:          models,
		Services:        services,
		State:           "live",
		SoftwareVersion: "v1",
	})
	return d.launch(name, common, func(stop, hurry context.Context, n *mgnode.Node) error {
		return mgnode.RunAgent(stop, hurry, settings, n)
	})
}

func (d *Deployment) startEntries() error {
	for i := range d.spec.Entries {
		name := fmt.Sprintf("entry-%d", i+1)
		common, err := d.commonSettings(name, i)
		if err != nil {
			return err
		}
		listen, err := mgloopback.Addr()
		if err != nil {
			return err
		}
		settings := mgsettings.Entry{
			Process:       common,
			ListenAddr:    listen,
			MaxBody:       1 << 20,
			MaxHeader:     32 << 10,
			CallerTimeout: 10000,
			ProbeTimeout:  200,
			CallTimeout:   10000,
			Fresh:         true,
		}
		d.entries = append(d.entries, "http://"+listen)
		d.vms = append(d.vms, mgplatform.VM{
			Name:   name,
			Kind:   "entry",
			Addr:   listen,
			Peer:   common.PeerAddr,
			Zone:   common.Zone,
			Region: region,
			State:  "live",
		})
		err = d.launch(name, common, func(stop, hurry context.Context, n *mgnode.Node) error {
			return mgnode.RunEntry(stop, hurry, settings, n)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) launch(name string, common mgsettings.Process, run func(stop, hurry context.Context, n *mgnode.Node) error) error {
	node, err := mgnode.Open(common, d.spec.Log)
	if err != nil {
		return err
	}
	stop, cancel := context.WithCancel(context.Background())
	p := &process{
		node: node,
		stop: cancel,
		done: make(chan error, 1),
	}
	d.processes[name] = p
	go func() { p.done <- run(stop, stop, node) }()
	return nil
}

func (d *Deployment) publishVMs() error {
	_, err := d.platform.PutVMs(d.vms)
	return err
}

// waitReady waits until every entry and agent reports that it is ready.
func (d *Deployment) waitReady(ctx context.Context) error {
	clock := mgclock.Clock{}
	for name, p := range d.processes {
		for {
			ok, why := p.node.Ready()
			if ok {
				break
			}
			select {
			case err := <-p.done:
				return fmt.Errorf("demo: %s exited during startup: %w", name, err)
			default:
			}
			if !clock.Sleep(ctx, 20) {
				return fmt.Errorf("demo: %s is not ready (%s): give it more time: %w", name, why, ctx.Err())
			}
		}
	}
	return nil
}

// Entries returns the base URLs of the entries.
func (d *Deployment) Entries() []string { return d.entries }

// Node returns the node of an entry or agent, or nil.
func (d *Deployment) Node(name string) *mgnode.Node {
	if p := d.processes[name]; p != nil {
		return p.node
	}
	return nil
}

// Engine returns the stand-in of an engine, or nil.
func (d *Deployment) Engine(name string) *mgstandin.Engine { return d.engines[name] }

// EngineClient returns a client that calls an engine directly, without entry and
// agent.
func (d *Deployment) EngineClient(name string) mgengine.Client { return d.clients[name] }

// Service returns the stand-in of a plain service, or nil.
func (d *Deployment) Service(name string) *mgstandin.Service { return d.services[name] }

// Platform returns the stand-in of the platform.
func (d *Deployment) Platform() *mgstandin.Platform { return d.platform }

// Close stops all processes and stand-ins and waits for their end.
func (d *Deployment) Close() {
	for _, p := range d.processes {
		p.stop()
	}
	for _, p := range d.processes {
		<-p.done
	}
	for _, closer := range d.closers {
		closer()
	}
}
