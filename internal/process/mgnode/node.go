package mgnode

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgpeer"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgadmin"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgevent"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgheap"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mglag"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglimit"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgoverload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgprobe"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgconfig"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgshare"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// A Node is one process of the system, without its role: RunEntry and RunAgent add that.
type Node struct {
	settings            mgsettings.Process
	incarnation         string
	clock               mgclock.Clock
	log                 logr.Logger
	metrics             *mgmetric.Set
	admin               *mgadmin.Admin
	guard               *mgpeer.Guard       // authenticates and secures calls between processes
	calls               http.RoundTripper   // between processes, over pooled connections
	transports          []http.RoundTripper // all transports between processes, calls among them
	signer              *mgseal.Signer
	members             *mgmember.Members
	platform            mgplatform.Client
	relayHeaders        *mgrelay.HeaderNames // nil if no requests are passed through
	probe               func(context.Context, mgrelay.Host) (bool, error)
	askIncarnation      func(context.Context, mgrelay.Host) (int64, error)
	parsedPage          func(digest string) *mgtable.Page // see Spec
	listConfirmsTable   bool                              // see Spec
	rowsExpire          bool                              // see Spec
	migrationSlots      mgmigration.Slots
	placementQueues     placementQueues
	placementCandidates atomic.Pointer[func(service string, others mgload.Report) []mgwaitlist.Place]
	entryLoads          mgload.Hub // loads that the cell's entries report, while this process is the hub
	otherLoads          atomic.Pointer[otherLoads]
	speeds              engineSpeeds
	quarantine          *mgquarantine.Quarantine
	limits              mglimit.Limits
	permits             mglimit.Permits
	permitRetryAt       atomic.Int64 // after the hub didn't respond, no permit is requested before this time
	exchanger           *updateExchanger
	origins             *mgorigin.Replicator
	prober              atomic.Pointer[mgprobe.Prober] // of an entry that shares probes, else nil
	move                func(context.Context, mgrelay.Host, mgrelay.MoveOrder) mgmigration.Reply
	configLoop          *mgconfig.Loop // reads and exchanges the table, the list and gossip
	pause               *mgmember.PauseDetector
	bus                 *mgevent.Bus
	peerClients         sync.Map                     // base URL to mgrpc.Peer
	roleHandler         atomic.Pointer[http.Handler] // of the role, on the peers' listener
	capShares           atomic.Pointer[mgshare.Loop] // of an entry, else nil
	waits               atomic.Pointer[mglag.Meter]  // of an entry, else nil
	gate                mgoverload.Gate              // for new connections of callers
	collector           *mgheap.Collector
	memory              int64 // of the process, bytes
	maxFiles            int64 // descriptors, 0 if unknown
	servesCallers       bool
	budgets             budgets     // of the listeners
	serving             atomic.Bool // the listeners for work are open
	leaving             atomic.Bool
	closeDeadline       atomic.Int64 // when a drained process closes the callers' listener at the latest
	loggedReads         readsLog     // used by tick only
	background          sync.WaitGroup
	extraServers        []ServerSpec // served in addition to the node's own
	killed              context.Context
	kill                context.CancelFunc
}

// Open makes a node that logs to w.
func Open(settings mgsettings.Process, w io.Writer) (*Node, error) {
	return New(Spec{
		Settings: settings,
		Log:      w,
	})
}

// New makes a node.
func New(spec Spec) (*Node, error) {
	settings := spec.Settings
	guard, signer, err := newKeys(spec)
	if err != nil {
		return nil, err
	}
	incarnation := incarnation()
	log := mglog.New(spec.Log, settings.LogLevel).WithValues(mglog.Process, settings.Name, mglog.Zone, settings.Zone)
	n := &Node{
		settings:          settings,
		incarnation:       incarnation,
		log:               log,
		metrics:           mgmetric.New(),
		admin:             &mgadmin.Admin{},
		guard:             guard,
		signer:            signer,
		members:           mgmember.New(settings.Name),
		platform:          spec.platform(),
		relayHeaders:      spec.Relay,
		move:              spec.Move,
		parsedPage:        spec.ParsedPage,
		listConfirmsTable: spec.ListConfirmsTable,
		rowsExpire:        spec.RowsExpire,
		probe:             spec.Probe,
		askIncarnation:    spec.AskIncarnation,
		collector:         mgheap.New(spec.Memory),
		memory:            cmp.Or(spec.Memory, settings.MemoryBytes(), defaultMemory),
		maxFiles:          spec.MaxFiles,
	}
	n.quarantine = mgquarantine.New(incarnation, n.trialRank)
	n.exchanger = n.newExchanger()
	n.origins = n.newOrigins()
	n.killed, n.kill = context.WithCancel(context.Background())
	n.calls = mgpeer.LimitReplies(n.newTransport(false))
	n.pause = mgmember.NewPauseDetector(n.clock, nil)
	n.pause.OnPause(func(mgclock.Millis) { n.quarantine.RecordPause(n.clock.Now()) })
	n.quarantine.SetPauseCheck(func() { n.pause.Check() })
	n.bus = mgevent.NewBus(n.clock)
	n.handleEvents()
	n.configLoop = mgconfig.NewLoop(n.loopSpec())
	n.admin.AddSection("table", func() any { return n.configLoop.Status() })
	n.admin.AddSection("members", n.memberState)
	n.admin.AddSection("quarantine", n.quarantineState)
	n.admin.AddSection("limits", func() any { return n.limits.Records(n.clock.Now()) })
	n.admin.AddSection("speeds", n.speedState)
	n.admin.AddSection("held", func() any { return n.budgets.state() })
	n.admin.AddSection("origins", func() any { return n.origins.State() })
	n.admin.SetReadiness(n.Ready)
	return n, nil
}

// incarnation returns a new name for an incarnation of this process. The names of
// one VM sort by age because they begin with the time; the random part
// distinguishes two incarnations that start within one second.
func incarnation() string {
	return strconv.FormatInt(mgclock.UnixSeconds(), 36) + "-" + uuid.NewString()[:8]
}

// jitterSeed returns the seed of an incarnation's jitter, which it derives from its name.
func jitterSeed(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }

// Ready reports whether the process accepts new work, and if not, why.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.leaving.Load():
		return false, "leaving"
	case n.Table() == nil:
		return false, "no configuration is in force"
	case n.members.View().Version() == 0:
		return false, "no list of VMs"
	case n.relayHeaders != nil && !n.members.View().HasUpstream():
		return false, "no upstream is known"
	case !n.configLoop.Ready():
		return false, "asking the peers and the platform for the newest configuration"
	case n.exchanger.isFetching():
		return false, "asking the peers for the records of crashes"
	case !n.serving.Load():
		return false, "not listening yet"
	default:
		return true, ""
	}
}

// Table returns the table in force, or nil.
func (n *Node) Table() *mgtable.Table {
	if snapshot := n.configLoop.Current(); snapshot != nil {
		return snapshot.Table()
	}
	return nil
}

// Incarnation returns the name of this process's incarnation.
func (n *Node) Incarnation() string { return n.incarnation }

// Clock returns the process's clock.
func (n *Node) Clock() mgclock.Clock { return n.clock }

// Log returns the process's logger.
func (n *Node) Log() logr.Logger { return n.log }

// Metrics returns the process's metrics.
func (n *Node) Metrics() *mgmetric.Set { return n.metrics }

// Admin returns the operators' page.
func (n *Node) Admin() *mgadmin.Admin { return n.admin }

// Guard returns the guard that secures connections to other processes.
func (n *Node) Guard() *mgpeer.Guard { return n.guard }

// Signer returns the signer that seals the names of responses, by which callers resume them;
// see mgseal.
func (n *Node) Signer() *mgseal.Signer { return n.signer }

// ObserveVersion records that another process uses a version of the table.
func (n *Node) ObserveVersion(version uint64, from string) {
	n.configLoop.ObserveVersion(version, from)
}

// ReadTableNow reads the table from the platform at once.
func (n *Node) ReadTableNow() { n.configLoop.ReadTableNow() }

// SetSeeds replaces the addresses of the peers to ask while no other process is known.
func (n *Node) SetSeeds(seeds []string) { n.configLoop.SetSeeds(seeds) }

// peerFailed records that a call to another process brought no response.
func (n *Node) peerFailed(name string) { n.members.RecordFailure(n.clock.Now(), name) }

// peerAnswered records that a call to another process brought a response.
func (n *Node) peerAnswered(name string) { n.members.RecordAnswer(n.clock.Now(), name) }

// recordUpstreamLeaving records an upstream's own announcement that it will leave.
func (n *Node) recordUpstreamLeaving(name string) { n.configLoop.HandleDeparture(name) }

// recordPeerAnnouncement records what another process reports of itself.
func (n *Node) recordPeerAnnouncement(name, incarnation string, leaving bool) {
	n.members.RecordMessage(n.clock.Now(), name, incarnation, leaving)
}

// run starts the node and its role, and waits for stop or Kill. After stop it runs
// the drain that startRole returned, which ends early when abortDrain ends.
func (n *Node) run(stop, abortDrain context.Context, startRole func(ctx context.Context) (Drain, error)) error {
	ctx, cancel := context.WithCancel(n.killed)
	defer n.Wait()
	defer cancel()
	if err := n.Start(ctx, stop); err != nil {
		return err
	}
	drain, err := startRole(ctx)
	if err != nil {
		return err
	}
	n.MarkServing()
	select {
	case <-n.killed.Done():
		return nil
	case <-stop.Done():
	}
	n.closeDeadline.Store(int64(drain.Run(abortDrain)))
	return nil
}

// Start opens the listeners for operators and peers, looks for the newest table, and
// waits until it is in force or stop ends.
func (n *Node) Start(ctx, stop context.Context) error {
	operators, err := mglistener.Listen(n.settings.AdminAddr, nil)
	if err != nil {
		return fmt.Errorf("key admin: can't listen on %s: give a free IP and port of this VM: %w", n.settings.AdminAddr, err)
	}
	for _, spec := range n.extraServers {
		n.Serve(ctx, n.withBudget(spec, n.parts().Readiness()))
	}
	n.Serve(ctx, n.withBudget(ServerSpec{
		Name:     "admin",
		Listener: operators,
		Handler:  n.admin.Handler(n.metrics),
	}, n.parts().Operators()))
	peers, err := n.guard.Listen(n.settings.PeerAddr)
	if err != nil {
		return err
	}
	n.Serve(ctx, n.withBudget(ServerSpec{
		Name:     "peers",
		Listener: peers,
		Handler:  n.guard.RequireKey(n.peerRoutes()),
		MaxConns: int(n.maxFiles / peerFilesDivisor),
	}, n.parts().Peers()))
	n.background.Go(func() { n.runEvents(ctx) })
	n.background.Go(func() { n.configLoop.Run(ctx) })
	n.background.Go(func() { n.pause.Run(ctx) })
	n.background.Go(func() { n.tick(ctx) })
	n.collector.LimitMemory()
	for n.Table() == nil || !n.configLoop.Ready() {
		if !n.clock.Sleep(stop, statePollInterval) {
			return fmt.Errorf("start: stopped before a configuration was in force: %w", stop.Err())
		}
	}
	return nil
}

// tick expires suspicions, forgets upstreams that are gone, and reports the reads of
// the platform, once a second until ctx ends.
func (n *Node) tick(ctx context.Context) {
	for n.clock.Sleep(ctx, mgclock.Second) {
		n.members.Tick(n.clock.Now())
		n.forgetGoneUpstreams()
		n.collector.Tick(n.clock.Now())
		n.budgets.report(n.metrics)
		n.reportReads(n.configLoop.Status())
	}
}

// Serve serves a listener in the background until ctx ends.
func (n *Node) Serve(ctx context.Context, spec ServerSpec) {
	n.background.Go(func() { Serve(ctx, n.killed, n.log, spec) })
}

// AddServer adds a listener that Start serves in addition to the node's own. Call it before
// Start.
func (n *Node) AddServer(spec ServerSpec) { n.extraServers = append(n.extraServers, spec) }

// MarkServing records that the listeners for work are open. Were the process ready
// before that, it would be sent requests that nothing accepts.
func (n *Node) MarkServing() { n.serving.Store(true) }

// Kill ends the node as a crash of its process would: connections break, and
// nothing is drained. It is for demos and tests of failures.
func (n *Node) Kill() { n.kill() }

// Wait waits until all goroutines that the node has started have ended, and then closes its
// connections to other processes.
func (n *Node) Wait() {
	n.background.Wait()
	n.closeConnections()
}

// newTransport returns a transport to other processes; see mgpeer.Guard.Transport.
func (n *Node) newTransport(noReuse bool) http.RoundTripper {
	transport := n.guard.Transport(noReuse)
	n.transports = append(n.transports, transport)
	return transport
}

// closeConnections closes the pooled connections to other processes, and ends attempts to open
// one whose requests have been given up: an attempt at a process that is stopping would last
// until its timeout.
func (n *Node) closeConnections() {
	for _, transport := range n.transports {
		client := http.Client{
			Transport: transport,
		}
		client.CloseIdleConnections()
	}
}

// NewDrain returns the drain of this process.
func (n *Node) NewDrain(refuseNewWork func(), busy func() int) Drain {
	return Drain{
		Clock:       n.clock,
		Log:         n.log,
		NoticeDelay: mgclock.Millis(n.settings.UnreadyDelay),
		MaxDuration: mgclock.Millis(n.settings.DrainTimeout),
		WithdrawReadiness: func() {
			n.leaving.Store(true)
			n.publish(mgevent.Leaving, n.settings.Name, "")
		},
		RefuseNewWork: refuseNewWork,
		CountBusy:     busy,
	}
}
