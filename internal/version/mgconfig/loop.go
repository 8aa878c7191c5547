package mgconfig

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Timeouts of actions. A peer answers an exchange from memory; a fetch may carry a
// megabyte. fetchTimeout is the default of MachineSpec.FetchTimeout, and readTimeout of
// MachineSpec.AnswerTimeout.
const (
	exchangeTimeout = mgclock.Second
	fetchTimeout    = 5 * mgclock.Second
	readTimeout     = 5 * mgclock.Second
)

// errStopped is returned by a loop that isn't running.
var errStopped = errors.New("mgconfig: this process is starting or stopping: ask another peer")

// A LoopSpec connects a machine to its clock, its peers and the platform.
type LoopSpec struct {
	Machine  MachineSpec
	Clock    mgclock.Clock
	Members  *mgmember.Members
	Platform mgplatform.Client
	Log      logr.Logger

	// Exchange and Fetch call the peer at an address.
	Exchange func(ctx context.Context, addr string, s *mgrpc.Summary) (*mgrpc.Summary, error)
	Fetch    func(ctx context.Context, addr string, r *mgrpc.FetchRequest) (*mgrpc.FetchReply, error)

	// LongPoll long-polls the peer at an address for a list of VMs newer than a version.
	// It is required where MachineSpec.QuickInterval is set.
	LongPoll func(ctx context.Context, addr string, after uint64, wait mgclock.Millis) (ListReply, error)

	// Gossip sends records of processes to the peer at an address and returns the
	// peer's records.
	Gossip func(ctx context.Context, addr string, all []mgmember.Gossip) ([]mgmember.Gossip, error)

	// OnAdopt is called with each snapshot put in force, in order. It may be nil. It
	// must not call the loop and must return soon, such as after publishing a control
	// event (package mgevent).
	OnAdopt func(*Snapshot)
}

// A Loop carries out a machine's actions and feeds it their results.
type Loop struct {
	spec    LoopSpec
	machine *Machine

	mu                sync.Mutex
	published         *Snapshot     // the last snapshot passed to OnAdopt
	loggedRejection   error         // the last rejection that was logged
	loggedHeld        []string      // the held rows that were logged last
	loggedWithheld    []string      // the withheld rows that were logged last
	loggedCordons     []string      // the cordoned availability zones that were logged last
	tableChanged      chan struct{} // closed and replaced at each adoption
	listChanged       chan struct{} // closed and replaced at each newer list of VMs
	cachedList        ListReply     // the reply with the list that was compressed last; in its VersionReport only List is set
	cachedListIsTimed bool          // cachedList contains remaining times, as of cachedListAt
	cachedListAt      mgclock.Millis
	wakeRun           chan struct{} // wakes Run after the machine's next tick may have moved
	ctx               context.Context
	stopped           bool
	actionsRunning    sync.WaitGroup
}

// NewLoop returns a loop. It does nothing until Run is called.
func NewLoop(spec LoopSpec) *Loop {
	return &Loop{
		spec:         spec,
		machine:      NewMachine(spec.Clock.Now(), spec.Machine, spec.Members),
		tableChanged: make(chan struct{}),
		listChanged:  make(chan struct{}),
		wakeRun:      make(chan struct{}, 1),
	}
}

// Current returns the snapshot in force, or nil. It takes no lock.
func (l *Loop) Current() *Snapshot { return l.machine.Current() }

// Ready reports whether the process may serve.
func (l *Loop) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Ready(l.spec.Clock.Now())
}

// IsListStale reports whether the list of VMs is unconfirmed by the platform. lateness is the time by
// which this process may be late to read a confirmation.
func (l *Loop) IsListStale(lateness mgclock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.IsListStale(l.spec.Clock.Now() - lateness)
}

// TableConfirmed reports whether the table in force was recently confirmed as the newest, so
// that a route or key that it lacks doesn't exist.
func (l *Loop) TableConfirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.TableConfirmed(l.spec.Clock.Now())
}

// Status returns the state for the debug dump.
func (l *Loop) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Status(l.spec.Clock.Now())
}

// Run keeps the table up to date until ctx ends, and returns once all its
// goroutines have.
func (l *Loop) Run(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	for ctx.Err() == nil {
		l.step((*Machine).Tick)
		l.waitUntilDue(ctx)
	}
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	l.actionsRunning.Wait()
}

// waitUntilDue waits until the machine's next tick or a call that may have moved it.
func (l *Loop) waitUntilDue(ctx context.Context) {
	l.mu.Lock()
	delay := l.machine.NextTick() - l.spec.Clock.Now()
	l.mu.Unlock()
	if delay <= 0 {
		return
	}
	select {
	case <-l.spec.Clock.After(delay):
	case <-l.wakeRun:
	case <-ctx.Done():
	}
}

// ObserveVersion handles a version number that a call from a peer carried. It costs two atomic
// loads where the peer isn't ahead.
func (l *Loop) ObserveVersion(version uint64, from string) {
	if version <= l.Current().Version() {
		return
	}
	l.stepAndWakeRun(func(m *Machine, now mgclock.Millis) []Action {
		return m.ObserveVersion(now, version, from)
	})
}

// Await returns once a version, or a later one, is in force. A request that carries a
// newer version than this process has waits here before it is handled.
func (l *Loop) Await(ctx context.Context, version uint64) error {
	for {
		l.mu.Lock()
		changed := l.tableChanged
		l.mu.Unlock()
		if l.Current().Version() >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("mgconfig: version %d is not in force here yet: try again or elsewhere: %w", version, ctx.Err())
		}
	}
}

// HandleDeparture records an upstream's own announcement that it is leaving, and forwards it
// to peers.
func (l *Loop) HandleDeparture(upstream string) {
	l.stepAndWakeRun(func(m *Machine, now mgclock.Millis) []Action { return m.HandleDeparture(now, upstream) })
}

// ReadTableNow reads the table from the platform at once, after another call to the
// platform has shown that there is a newer one.
func (l *Loop) ReadTableNow() { l.stepAndWakeRun((*Machine).ReadTableNow) }

// ApplyReport applies another process's report of the platform's state.
func (l *Loop) ApplyReport(report VersionReport, from string) {
	l.step(func(m *Machine, now mgclock.Millis) []Action { return m.ApplyReport(now, report, from) })
}

// SetSeeds replaces the peer addresses that are used while no other peer is known.
func (l *Loop) SetSeeds(seeds []string) {
	l.stepAndWakeRun(func(m *Machine, _ mgclock.Millis) []Action {
		m.spec.Seeds = seeds
		return nil
	})
}

// Leave announces to a few peers, and in all later summaries, that this process leaves.
func (l *Loop) Leave() { l.stepAndWakeRun((*Machine).Leave) }

// stepAndWakeRun runs step and has Run recompute the machine's next tick.
func (l *Loop) stepAndWakeRun(decide func(*Machine, mgclock.Millis) []Action) {
	l.step(decide)
	l.signalRun()
}

// signalRun has Run recompute the machine's next tick.
func (l *Loop) signalRun() {
	select {
	case l.wakeRun <- struct{}{}:
	default:
	}
}

// step runs decide and starts the actions that it returns.
func (l *Loop) step(decide func(*Machine, mgclock.Millis) []Action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || l.ctx == nil {
		return
	}
	before := l.machine.members.View().Version()
	actions := decide(l.machine, l.spec.Clock.Now())
	if view := l.machine.members.View(); view.Version() != before {
		close(l.listChanged)
		l.listChanged = make(chan struct{})
		l.logCordons(view)
	}
	l.logKeptRows()
	l.publishTable()
	for _, action := range actions {
		l.actionsRunning.Add(1)
		go l.perform(action)
	}
}

// publishTable logs what the machine adopted or rejected, and publishes an adopted
// snapshot.
func (l *Loop) publishTable() {
	if version, err := l.machine.LastRejection(); err != nil && err != l.loggedRejection {
		l.loggedRejection = err
		var unread *mgplatform.RowsError
		if errors.As(err, &unread) {
			l.spec.Log.Error(err, "a part of the list of VMs isn't used", "rows", unread.Count())
		} else {
			l.spec.Log.Error(err, "a version of the table was refused, the last good one stays",
				"version", version, "inforce", l.Current().Version())
		}
	}
	current := l.Current()
	if current == l.published {
		return
	}
	l.published = current
	l.spec.Log.Info("a version of the table is in force",
		"version", current.Version(), "accounts", current.Table().AccountCount(), "digest", current.Digest())
	if l.spec.OnAdopt != nil {
		l.spec.OnAdopt(current)
	}
	close(l.tableChanged)
	l.tableChanged = make(chan struct{})
}

// maxLoggedRows is the maximum number of names of rows in a line of the log.
const maxLoggedRows = 10

// logKeptRows logs each change of the rows that are held because the platform lacks them,
// and of those that are withheld from work because a backup has brought them back.
func (l *Loop) logKeptRows() {
	held, withheld := l.machine.members.Kept(l.spec.Clock.Now())
	if slices.Equal(held, l.loggedHeld) && slices.Equal(withheld, l.loggedWithheld) {
		return
	}
	l.loggedHeld, l.loggedWithheld = held, withheld
	l.spec.Log.Info("the held and withheld upstreams have changed",
		"held", len(held), "heldnames", held[:min(len(held), maxLoggedRows)],
		"withheld", len(withheld), "withheldnames", withheld[:min(len(withheld), maxLoggedRows)],
		"list", l.machine.members.View().Version())
}

// logCordons logs each change of the cordoned availability zones.
func (l *Loop) logCordons(view *mgmember.View) {
	cordons := slices.Sorted(maps.Keys(view.Cordoned()))
	if slices.Equal(cordons, l.loggedCordons) {
		return
	}
	l.loggedCordons = cordons
	l.spec.Log.Info("the availability zones that get no new work have changed",
		"cordoned", cordons, "list", view.Version())
}

// perform carries out one action.
func (l *Loop) perform(action Action) {
	defer l.actionsRunning.Done()
	result := l.call(action)
	if result.Err != nil && action.kind != Read && action.kind != Watch && l.ctx.Err() == nil {
		l.spec.Log.Info("a peer gave no answer", "peer", action.peer, "address", action.addr,
			"pages", action.kind == Fetch, "why", result.Err.Error())
	}
	l.stepAndWakeRun(func(m *Machine, now mgclock.Millis) []Action {
		return m.HandleResult(now, result)
	})
}

func (l *Loop) call(action Action) ActionResult {
	result := ActionResult{
		Action: action,
	}
	ctx, cancel := context.WithTimeout(l.ctx, actionTimeout(action).Duration())
	defer cancel()
	switch action.kind {
	case Exchange:
		result.Summary, result.Err = l.spec.Exchange(ctx, action.addr, action.summary)
	case Fetch:
		var reply *mgrpc.FetchReply
		reply, result.Err = l.spec.Fetch(ctx, action.addr, action.fetch)
		if result.Err == nil {
			result.Values, result.List, result.Err = decompressReply(reply)
		}
	case LongPoll:
		var reply ListReply
		reply, result.Err = l.spec.LongPoll(ctx, action.addr, action.after, action.wait)
		result.Report = reply.Report
		if result.Err == nil && reply.Compressed != nil {
			result.List, result.Err = decompress(reply.Compressed)
		}
	case Gossip:
		result.Gossip, result.Err = l.spec.Gossip(ctx, action.addr, action.gossip)
	case Read:
		result.Value, result.Err = l.spec.Platform.Read(ctx, action.key)
	case Watch:
		result.Value, result.Err = l.spec.Platform.Watch(ctx, action.key, action.after, action.wait)
	}
	return result
}

func actionTimeout(action Action) mgclock.Millis {
	switch action.kind {
	case Exchange:
		return exchangeTimeout
	case Fetch:
		return orDefault(action.answerTimeout, fetchTimeout)
	default:
		return action.wait + orDefault(action.answerTimeout, readTimeout)
	}
}
