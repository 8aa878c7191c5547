package mgrelay

import (
	"context"
	"iter"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgbackup"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglimit"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgprobe"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgrest"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgspeed"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwarm"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// Spec configures a relay.
type Spec struct {
	Headers HeaderNames
	Clock   mgclock.Clock
	Log     logr.Logger
	Metrics *mgmetric.Set
	Budgets *mgretry.Budgets // bound the retries of each service
	// Client sends requests to upstreams; see mgdial.NewClientWith.
	Client *http.Client
	// Upstreams returns all upstreams that run a service and aren't leaving, in any
	// order.
	Upstreams func(service string) []Host
	// AllUpstreams is like Upstreams, but includes those that this process leaves to other
	// processes. If it is nil, there are none.
	AllUpstreams func(service string) []Host
	// IncarnationStart returns when the current incarnation of an upstream started, as stated
	// by the list, or false if the list has no such upstream. If it is nil, upstreams have one
	// incarnation only.
	IncarnationStart func(upstream string) (start int64, listed bool)
	// Load counts what this process sends to each upstream. OtherLoads returns what
	// other entries have sent. Zone is this entry's availability zone.
	Load       *mgload.Tracker
	OtherLoads func() mgload.Report
	Zone       string
	// Learner learns the speeds of engines from the streams of this process, and Speeds returns
	// what all processes have learned. If they are nil, all engines count as alike.
	Learner *mgspeed.Learner
	Speeds  func() *mgspeed.Speeds
	// Name is the name of this process. Processes returns how many processes it
	// knows of, itself included; see mgwarm. If Processes is nil, cold upstreams are
	// not protected.
	Name      string
	Processes func() int
	// ReportFailed reports an upstream that could not be reached, ReportAnswered one that
	// answered.
	ReportFailed   func(upstream string)
	ReportAnswered func(upstream string)
	// IsLeaving reports whether an upstream is leaving or gone. LeavingChanged returns a
	// channel that is closed when that may have changed.
	IsLeaving      func(upstream string) bool
	LeavingChanged func() <-chan struct{}
	// IsMissing reports whether an upstream is absent from the list, though it hasn't
	// been reported as leaving. Nil reports none.
	IsMissing func(upstream string) bool
	// CordonAge reports whether an upstream's availability zone is cordoned, and how
	// long this has been known. Upstreams leaves such upstreams out. Nil reports none.
	CordonAge func(upstream string) (age mgclock.Millis, cordoned bool)
	// AllCordoned reports whether a service has upstreams that aren't leaving and all of
	// them are cordoned. Nil reports none.
	AllCordoned func(service string) bool
	// ListConfirmedAt returns when the platform last confirmed the list, in ms of the clock,
	// negative if it hasn't. AskIncarnation asks an upstream when its incarnation started. If
	// ListConfirmedAt is nil, the list is always current; if AskIncarnation is nil, no upstream
	// is asked.
	ListConfirmedAt func() mgclock.Millis
	AskIncarnation  func(ctx context.Context, upstream Host) (start int64, err error)
	// AcquireSlot acquires a migration slot for a generation of a service, and ReleaseSlot
	// releases it; see mgmigration.Slots. AcquireSlot returns the name of the destination
	// to move the generation to, or false if no process could be asked. If AcquireSlot is
	// nil, moves need no slot. The run of ReleaseSlot is the request's id.
	AcquireSlot func(ctx context.Context, service string, request mgmigration.SlotRequest) (destination string, ok bool)
	ReleaseSlot func(service, source, run string)
	// AwaitPlacement asks the process that assigns placements for an upstream. It returns as
	// soon as one has memory for the generation, or when the request is given up,
	// and returns false if no process could be asked. If AwaitPlacement is nil, each entry
	// chooses by what it knows.
	AwaitPlacement func(ctx context.Context, service string, wait mgwaitlist.Request) (grant mgwaitlist.Grant, ok bool)
	// IsListStale reports whether the list of upstreams may be out of date. While it is,
	// AskLeaving asks the upstreams that run generations whether they are leaving, and
	// ReportDeparted reports those that are. If AskLeaving is nil, none are asked.
	IsListStale    func() bool
	AskLeaving     func(ctx context.Context, upstream Host) (leaving bool, err error)
	ReportDeparted func(upstream string)
	// Prober asks engines on behalf of all entries, those of Engines that run generations of any of
	// them. SharesProbes reports whether the table calls for that; nil stands for always. Otherwise, or
	// if Prober is nil, this entry asks for itself.
	Prober       *mgprobe.Prober
	Engines      iter.Seq[Host]
	SharesProbes func() bool
	// IsListRecovering reports whether the platform has just returned from an outage, so that
	// its list may be as in a backup, or have upstreams that it lacks. The upstreams are
	// asked as with a stale list. Nil stands for a platform without backups.
	IsListRecovering func() bool
	// ListVersion returns the version of the list of upstreams, and also the age of the
	// load reports that OtherLoads returns, for logs. If it is nil, neither is logged.
	ListVersion func() (list uint64, age mgclock.Millis)
	// TimeLeft returns how long this process continues to run, or false if it isn't
	// stopping or its callers would fare no better at another one. StopsIn returns the same
	// time, and false only if it isn't stopping. Nil stands for a process that doesn't stop.
	TimeLeft func() (mgclock.Millis, bool)
	StopsIn  func() (mgclock.Millis, bool)
	// Quarantine holds requests under which upstreams crash. New creates one if it
	// is nil.
	Quarantine *mgquarantine.Quarantine
	// Limits are the rate limits that upstreams announce in their answers. TakePermit
	// takes a permit to send to an upstream that has one, or returns the time until
	// there may be a permit. For a forced request it returns at once. New creates both
	// for this process alone if they are nil.
	Limits     *mglimit.Limits
	TakePermit func(ctx context.Context, request PermitRequest) (wait mgclock.Millis, ok bool)
	// Origins holds the origins of streams, for callers that resume them. New creates one for
	// this process alone if it is nil.
	Origins *mgorigin.Replicator
	// RefusesConnections reports whether an upstream's address refuses connections, as it does
	// after its process has ended. An error means that this is unknown. If RefusesConnections
	// is nil, it is always unknown.
	RefusesConnections func(ctx context.Context, addr string) (bool, error)
	// WatchProcess watches the process at an upstream's address that answers on a connection. If it
	// is nil, none is watched.
	WatchProcess func(ctx context.Context, addr string, answered net.Conn) (*mgdial.ProcessWatch, error)
	// RecentWait returns the longest time for which an event has lately waited for this process. Nil
	// stands for none.
	RecentWait func() mgclock.Millis
	// Admission makes the time of a caller that comes back count from its first try, and the
	// wait for a placement end when its answer could no longer be complete.
	Admission bool
	// Backups switches backups on, for services that can have them (mgtable). Losses records
	// the engines that were lost; New creates one if it is nil.
	Backups bool
	Losses  *mgbackup.Losses
	// Move sends an order to the source of a move, and returns Lost if no reply comes within a few
	// seconds: the caller of a stopped generation waits for it. If it is nil, nothing is moved.
	Move func(ctx context.Context, source Host, order MoveOrder) mgmigration.Reply
}

// MoveOrder is a step of a move, sent to the source.
type MoveOrder struct {
	Request string // the request's id
	To      string // the destination's address
	Stop    bool   // stop the generation first
}

// Relay forwards requests to upstreams. Create one with New.
type Relay struct {
	spec         Spec
	exchanges    exchanges
	generations  generations
	endChecks    endChecks
	closings     closings
	coldTurns    mgwarm.Turns
	backoffs     mgrest.Rests     // of upstreams that sent Retry-After
	permitWaits  mglimit.Backoffs // of upstreams for which a permit was denied
	localPermits mglimit.Permits  // if Spec.TakePermit is nil
	rejections   rejections
	firstTries   firstTries
	backupBudget mgbackup.Budget
	answerCount  atomic.Uint64 // successful answers to the first attempt
	// lastOutageAt is when the platform was last unavailable, in ms of the clock; 0
	// for never.
	lastOutageAt atomic.Int64
}

// New returns a relay.
func New(spec Spec) *Relay {
	if spec.Quarantine == nil {
		spec.Quarantine = &mgquarantine.Quarantine{}
	}
	if spec.Losses == nil {
		spec.Losses = &mgbackup.Losses{}
	}
	if spec.Limits == nil {
		spec.Limits = &mglimit.Limits{}
	}
	if spec.Origins == nil {
		spec.Origins = mgorigin.NewReplicator(mgorigin.ReplicatorSpec{
			Clock: spec.Clock,
		})
	}
	y := &Relay{
		spec: spec,
	}
	if spec.TakePermit == nil {
		y.spec.TakePermit = y.takeLocalPermit
	}
	return y
}

// Call is what the table has for an allowed request, stream or not: its route and its
// account.
type Call struct {
	Table   *mgtable.Table
	Route   *mgtable.Route
	Account *mgtable.Account // nil if the route needs none
}

// maxDials bounds the upstreams that a request tries to connect to, and
// 1/dialTimeDivisor is the part of its time that it may spend on this. The number of
// attempts doesn't bound them, since nothing was sent to an upstream that could not
// be reached. Many may be needed: after an entry was cut off from the platform for
// twelve seconds, half of the upstreams in its list may be gone.
const (
	maxDials        = 8
	dialTimeDivisor = 4
)

// Serve answers a request.
func (y *Relay) Serve(w http.ResponseWriter, r *http.Request, call Call) {
	startedAt := y.spec.Clock.Now()
	x, problem := y.newExchange(w, r, call, startedAt)
	if problem != nil {
		y.answerProblem(w, x, problem)
		return
	}
	if y.spec.TimeLeft != nil && y.endsTooLate(x) {
		y.answerProblem(w, x, stoppingProblem())
		return
	}
	ctx, cancelCause := context.WithCancelCause(r.Context())
	defer cancelCause(nil)
	x.cancel = cancelCause
	ctx, cancel := context.WithTimeout(ctx, x.timeout.Duration())
	defer cancel()
	x.setWriteDeadline()
	if problem := y.bindToOrigin(ctx, x); problem != nil {
		y.answerProblem(w, x, problem)
		return
	}
	x.setParts(&y.spec.Headers)
	y.exchanges.add(x, cancelCause)
	defer y.exchanges.remove(x)
	y.serve(ctx, w, x)
}

// serve sends a request to upstreams until an answer can be delivered or none may be
// tried any more.
func (y *Relay) serve(ctx context.Context, w http.ResponseWriter, x *exchange) {
	for {
		if y.endIfHeld(w, x) {
			return
		}
		host, ok := y.nextHost(ctx, x)
		if ctx.Err() != nil {
			y.expire(ctx, w, x)
			return
		}
		if !ok {
			y.giveUp(w, x)
			return
		}
		if !y.mayContinueAt(x, host) {
			// The list has changed since the upstream was chosen.
			y.spec.Metrics.Counter("relay.unmatched").Inc(1)
			x.endAttempt(false)
			y.giveUp(w, x)
			return
		}
		outcome := y.attempt(ctx, w, x, host)
		if outcome == delivered {
			return
		}
		if ctx.Err() != nil || y.isExpired(x) && x.failure == nil {
			y.expire(ctx, w, x)
			return
		}
		if y.mayCrashAnother(x) {
			y.spec.Metrics.Counter("relay.dangerous").Inc(1)
			y.giveUp(w, x)
			return
		}
		if y.prepareResume(ctx, x) {
			continue
		}
		if !y.mayRetry(ctx, x, outcome) {
			y.giveUp(w, x)
			return
		}
	}
}

// nextHost returns the upstream that has a copy to continue from, else the one with
// a placement for the request, else the best one that hasn't been tried.
func (y *Relay) nextHost(ctx context.Context, x *exchange) (Host, bool) {
	if x.resumeFrom.copyRef != "" {
		y.beginAttempt(x, x.resumeFrom.host) // no other upstream has the copy
		y.takeForcedPermit(ctx, x, x.resumeFrom.host)
		return x.resumeFrom.host, true
	}
	if host, decided := y.awaitPlacement(ctx, x); decided {
		return host, x.problem == nil
	}
	for _, c := range y.candidates(x, mgload.Query{Zone: y.spec.Zone}) {
		if x.tried[c.host.Name] {
			continue
		}
		if !y.beginAttempt(x, c.host) {
			continue
		}
		withinColdRate := !c.host.Cold || y.takeColdTurn(x, c.host)
		if withinColdRate && y.takePermit(ctx, x, c.host) {
			return c.host, true
		}
		x.endAttempt(false)
		x.skippedCold = x.skippedCold || !withinColdRate
	}
	return Host{}, false
}

// takeColdTurn reports whether a request without a placement may be sent to a cold
// upstream now.
func (y *Relay) takeColdTurn(x *exchange, host Host) bool {
	service := x.call.Table.Service(x.service)
	if service == nil || service.MaxColdRate() == 0 || y.spec.Processes == nil {
		return true
	}
	return y.coldTurns.Take(y.spec.Clock.Now(), y.spec.Name, host.Name, service.MaxColdRate(), y.spec.Processes())
}

// mayRetry reports whether a request may be sent to another upstream after an
// attempt with this outcome.
func (y *Relay) mayRetry(ctx context.Context, x *exchange, outcome attemptOutcome) bool {
	if x.mayHaveRun && !x.call.Route.Repeatable() {
		return false
	}
	if !y.canContinue(x) || !y.hasBegunAsListed(ctx, x) {
		y.spec.Metrics.Counter("relay.unmatched").Inc(1)
		return false
	}
	if outcome == notConnected {
		return x.failedDials < maxDials && y.elapsed(x) < x.timeout/dialTimeDivisor
	}
	if x.attempts >= x.call.Route.MaxAttempts() {
		return false
	}
	if !y.spec.Budgets.Of(x.service).Spend() {
		y.spec.Metrics.Counter("relay.unaffordable").Inc(1)
		return false
	}
	return true
}

// serviceOf picks the service by a hash of the request's id. The shares of a split
// route are then as configured, and the choice can be recomputed from a log line.
func serviceOf(route *mgtable.Route, id string) string {
	return route.PickService(xxhash.Sum64String(id))
}

// noCapacityProblem returns the problem to answer with when no upstream can take a
// request now.
func (y *Relay) noCapacityProblem(x *exchange) *mgproblem.Problem {
	if y.spec.AllCordoned != nil && y.spec.AllCordoned(x.service) {
		return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
			"all availability zones with upstreams of the service are cordoned",
			"send it again after the time given").WithRetryAfter(retryDelayCordoned)
	}
	if left, allDelayed := y.backoffLeft(x); allDelayed {
		return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
			"all upstreams of the service asked for a rest", "send it again after the time given").WithRetryAfter(left)
	}
	if left, allDelayed := y.unavailableFor(x); allDelayed {
		return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
			"all upstreams of the service have as many requests as they take", "send it again after the time given").
			WithRetryAfter(y.spreadRetryDelay(x, left))
	}
	if !y.canContinue(x) {
		return mgproblem.New(mgproblem.Unresumable, mgproblem.NotRun,
			"no upstream runs the software version that began the stream",
			"send the request again from its beginning, or as it is after the time given").WithRetryAfter(retryDelayNoUpstream)
	}
	hosts := y.spec.Upstreams(x.service)
	if len(hosts) > 0 && x.homes.excludesAll(hosts) {
		return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
			"no upstream of the service is in a region where the request may run",
			"send it again after the time given").WithRetryAfter(retryDelayCordoned)
	}
	if x.skippedCold {
		delay := retryDelay
		if service := x.call.Table.Service(x.service); service != nil {
			delay = max(delay, service.ColdPeriod())
		}
		return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
			"the upstreams of the service have just started and bear no more requests now",
			"send it again after the time given").WithRetryAfter(delay)
	}
	if len(hosts) == 0 {
		return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
			"no upstream of the service is known now", "send it again after the time given").WithRetryAfter(retryDelayNoUpstream)
	}
	return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
		"no upstream can take the request now", "send it again after the time given").WithRetryAfter(retryDelay)
}

// retryDelayNoUpstream is the Retry-After while no upstream is known. Most callers
// retry once, and the platform states that upstreams are listed again within two
// seconds of an outage's end. In the one recorded outage it took 0.2 to 0.35 s.
const retryDelayNoUpstream = mgclock.Second

// retryDelayCordoned is the Retry-After while all upstreams are cordoned. Operators
// do this for minutes and may end it at any moment. Callers shorten the delay to a part
// of the time that they have left, so they may retry earlier. It is also used if no
// upstream is in a region where the request may run.
const retryDelayCordoned = 5 * mgclock.Second

// retryDelay is the Retry-After in all other cases: long enough for another entry to
// have newer information, short compared with the deadline of a lookup.
const retryDelay = 100 * mgclock.Millis(1)
