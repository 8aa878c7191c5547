package mgrelay

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglimit"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgrest"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgroom"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwarm"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// Spec is what a relay is made of.
type Spec struct {
	Form    Form
	Clock   mgclock.Clock
	Log     logr.Logger
	Metrics *mgmetric.Set
	Budgets *mgretry.Budgets
	// Client sends to upstreams; see mgdial.NewClientWith.
	Client *http.Client
	// Every returns all upstreams that run a service and stay, in any order.
	Every func(service string) []Host
	// Load counts what is sent to each upstream, and Others returns what other
	// entries have sent. Zone is this entry's.
	Load   *mgload.Count
	Others func() mgload.Report
	Zone   string
	// Name is this process's, and Processes returns how many it knows of, itself
	// included; see mgwarm. Nil bounds nothing.
	Name      string
	Processes func() int
	// Failed tells of an upstream that could not be reached, Answered of one
	// that answered.
	Failed   func(upstream string)
	Answered func(upstream string)
	// Leaving reports whether an upstream leaves or is gone, and Changed returns
	// a channel that is closed when that may have changed.
	Leaving func(upstream string) bool
	Changed func() <-chan struct{}
	// Missing reports whether an upstream is not in the list, which has no word of
	// its leaving. Nil reports none.
	Missing func(upstream string) bool
	// Cordoned reports whether an upstream's availability zone gets no new work, and
	// how long ago that was learned. Every leaves such upstreams out. Nil reports none.
	Cordoned func(upstream string) (age mgclock.Millis, cordoned bool)
	// Closed reports whether a service has upstreams that stay and all of them are
	// cordoned. Nil reports none.
	Closed func(service string) bool
	// Turn asks for a turn at moving a run of a service, and EndTurn gives it
	// back; see mgmigration.Turns. Without Turn there are no turns. It returns
	// false where nobody could be asked.
	Turn    func(ctx context.Context, service string, ask mgmigration.Ask) (place string, ok bool)
	EndTurn func(service, source, run string)
	// Place has one entry choose the upstream of a generation, as soon as one has
	// memory for it, or give it up. It returns false where nobody could be asked.
	// Without it each entry chooses by what it knows.
	Place func(ctx context.Context, service string, wait mgroom.Wait) (grant mgroom.Grant, ok bool)
	// Stale reports whether the list of upstreams may lack what has changed.
	// Upstreams with runs are then asked by Probe whether they leave, and
	// Departed is told of those that do. Without Probe none are asked.
	Stale    func() bool
	Probe    func(ctx context.Context, upstream Host) (leaving bool, err error)
	Departed func(upstream string)
	// Basis returns the version of the list of upstreams, and the age of what
	// Others returns, for logs. Nil logs neither.
	Basis func() (list uint64, age mgclock.Millis)
	// Left returns how long this process still lives, or false when it doesn't
	// stop.
	Left func() (mgclock.Millis, bool)
	// Quarantine holds requests back that crash upstreams. New makes one of its own
	// where it is nil.
	Quarantine *mgquarantine.Quarantine
	// Limits are the rates that upstreams name in their answers, and Permit takes leave to
	// send to one of them, or returns the time until there may be some. New makes what this
	// process needs alone where they are nil.
	Limits *mglimit.Limits
	Permit func(ctx context.Context, permit Permit) (wait mgclock.Millis, ok bool)
	// Refuses reports whether an upstream's address refuses connections, as after its
	// process has ended; an error says that it isn't known. Nil never knows.
	Refuses func(ctx context.Context, addr string) (bool, error)
	// Move makes a call to a source of a move. Without it nothing is moved.
	Move func(ctx context.Context, source Host, order Order) mgmigration.Reply
}

// Order is a call to the source of a move.
type Order struct {
	Run  string // the request's id
	To   string // the destination's address
	Last bool   // stop the run first
}

// A Relay passes requests through. Make one with New.
type Relay struct {
	spec         Spec
	exchanges    exchanges
	generations  generations
	coldTurns    mgwarm.Turns
	backoffs     mgrest.Rests
	permitWaits  mglimit.Waits
	localPermits mglimit.Permits // where nobody else gives any
	rejections   rejections
	answerCount  atomic.Uint64 // ordinary answers
	// lastOutageAt is when the platform was away last, ms of the clock; 0 for never.
	lastOutageAt atomic.Int64
}

// New returns a relay.
func New(spec Spec) *Relay {
	if spec.Quarantine == nil {
		spec.Quarantine = &mgquarantine.Quarantine{}
	}
	if spec.Limits == nil {
		spec.Limits = &mglimit.Limits{}
	}
	y := &Relay{
		spec: spec,
	}
	if spec.Permit == nil {
		y.spec.Permit = y.takeLocalPermit
	}
	return y
}

// Call is a request that was found to be allowed.
type Call struct {
	Table   *mgtable.Table
	Route   *mgtable.Route
	Account *mgtable.Account // nil where the route needs none
}

// maxDials bounds the upstreams that a request tries to connect to, and
// dialTimeDivisor the part of its time that it spends so. Nothing was sent to those
// that could not be reached, so they are no attempts. An entry that was cut off
// for twelve seconds has a list of which half may be gone.
const (
	maxDials        = 8
	dialTimeDivisor = 4
)

// Serve answers a request.
func (y *Relay) Serve(w http.ResponseWriter, r *http.Request, call Call) {
	startedAt := y.spec.Clock.Now()
	x, problem := y.newExchange(w, r, call, startedAt)
	if problem != nil {
		y.refuse(w, x, problem)
		return
	}
	if y.spec.Left != nil {
		if left, stopping := y.spec.Left(); stopping && x.expectedDuration() > left {
			y.refuse(w, x, mgproblem.New(mgproblem.Leaving, mgproblem.NotRun,
				"this entry ends before the answer would", "send the request again on a new connection").WithRetry(retryDelay))
			return
		}
	}
	ctx, cancelCause := context.WithCancelCause(r.Context())
	defer cancelCause(nil)
	ctx, cancel := context.WithTimeout(ctx, x.timeout.Duration())
	defer cancel()
	y.exchanges.add(x, cancelCause)
	defer y.exchanges.remove(x)
	x.setWriteDeadline()
	y.serve(ctx, w, x)
}

// serve sends a request until an answer can be delivered.
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
		outcome := y.attempt(ctx, w, x, host)
		if outcome == delivered {
			return
		}
		if ctx.Err() != nil {
			y.expire(ctx, w, x)
			return
		}
		if y.prepareResume(x) {
			continue
		}
		if !y.mayRetry(x, outcome) {
			y.giveUp(w, x)
			return
		}
	}
}

// nextHost returns the upstream that has a copy to go on from, the one with memory
// for a request that waited, or the best that was not tried.
func (y *Relay) nextHost(ctx context.Context, x *exchange) (Host, bool) {
	if x.resumeFrom.copyRef != "" {
		y.beginAttempt(x, x.resumeFrom.host) // only there is the copy
		y.takeForcedPermit(ctx, x, x.resumeFrom.host)
		return x.resumeFrom.host, true
	}
	if host, settled := y.awaitPlacement(ctx, x); settled {
		return host, x.problem == nil
	}
	for _, c := range y.candidates(x, mgload.Query{Zone: y.spec.Zone}) {
		if x.tried[c.host.Name] {
			continue
		}
		if !y.beginAttempt(x, c.host) {
			continue
		}
		warm := !c.host.Cold || y.takeColdTurn(x, c.host)
		if warm && y.takePermit(ctx, x, c.host) {
			return c.host, true
		}
		x.endAttempt(false)
		x.skippedCold = x.skippedCold || !warm
	}
	return Host{}, false
}

// takeColdTurn reports whether a request may be sent to a cold upstream without a place.
func (y *Relay) takeColdTurn(x *exchange, host Host) bool {
	service := x.call.Table.Service(x.service)
	if service == nil || service.Ramp() == 0 || y.spec.Processes == nil {
		return true
	}
	return y.coldTurns.Take(y.spec.Clock.Now(), y.spec.Name, host.Name, service.Ramp(), y.spec.Processes())
}

// mayRetry reports whether a request may go to another upstream after an attempt
// that ended so.
func (y *Relay) mayRetry(x *exchange, outcome attemptOutcome) bool {
	if x.mayHaveRun && !x.call.Route.Repeatable() {
		return false
	}
	if x.attemptBroken && y.mayCrashAnother(x) {
		y.spec.Metrics.Counter("relay.dangerous").Inc(1)
		return false
	}
	if outcome == notConnected {
		return x.failedDials < maxDials && y.elapsed(x) < x.timeout/dialTimeDivisor
	}
	if x.attempts >= x.call.Route.Attempts() {
		return false
	}
	if !y.spec.Budgets.Of(x.service).Spend() {
		y.spec.Metrics.Counter("relay.unaffordable").Inc(1)
		return false
	}
	return true
}

// serviceOf picks the service by the request's id, so that the parts of a split
// route are what the operator said and a log line can be checked.
func serviceOf(route *mgtable.Route, id string) string {
	return route.Pick(xxhash.Sum64String(id))
}

// noCapacityProblem is told when no upstream can take a request now.
func (y *Relay) noCapacityProblem(x *exchange) *mgproblem.Problem {
	if y.spec.Closed != nil && y.spec.Closed(x.service) {
		return mgproblem.New(mgproblem.Crowded, mgproblem.NotRun,
			"all availability zones with upstreams of the service are cordoned",
			"send it again after the time given").WithRetry(retryDelayCordoned)
	}
	if left, all := y.backoffLeft(x); all {
		return mgproblem.New(mgproblem.Crowded, mgproblem.NotRun,
			"all upstreams of the service asked for a rest", "send it again after the time given").WithRetry(left)
	}
	if left, all := y.unavailableFor(x); all {
		return mgproblem.New(mgproblem.Crowded, mgproblem.NotRun,
			"all upstreams of the service have as many requests as they take", "send it again after the time given").
			WithRetry(y.spreadRetryDelay(x, left))
	}
	hosts := y.spec.Every(x.service)
	if len(hosts) > 0 && x.homes.excludesAll(hosts) {
		return mgproblem.New(mgproblem.Crowded, mgproblem.NotRun,
			"no upstream of the service is in a region where the request may run",
			"send it again after the time given").WithRetry(retryDelayCordoned)
	}
	if x.skippedCold {
		delay := retryDelay
		if service := x.call.Table.Service(x.service); service != nil {
			delay = max(delay, service.Cold())
		}
		return mgproblem.New(mgproblem.Crowded, mgproblem.NotRun,
			"the upstreams of the service have just started and bear no more requests now",
			"send it again after the time given").WithRetry(delay)
	}
	if len(hosts) == 0 {
		return mgproblem.New(mgproblem.Crowded, mgproblem.NotRun,
			"no upstream of the service is known now", "send it again after the time given").WithRetry(retryDelayNoUpstream)
	}
	return mgproblem.New(mgproblem.Crowded, mgproblem.NotRun,
		"no upstream can take the request now", "send it again after the time given").WithRetry(retryDelay)
}

// retryDelayNoUpstream is how long a caller should wait while no upstream is known: most
// callers come back once, and the platform says that upstreams are listed again
// within two seconds of an outage's end. On the one day that had it they were
// after 0.2 to 0.35 s.
const retryDelayNoUpstream = mgclock.Second

// retryDelayCordoned is how long a caller should wait while operators keep every upstream
// from new work, which they do for minutes and take back at any moment: callers shorten
// it to a part of the time that they have.
const retryDelayCordoned = 5 * mgclock.Second

// retryDelay is how long a caller that was turned away should wait: long enough
// for another entry's view to be newer, short against the deadline of a lookup.
const retryDelay = 100 * mgclock.Millis(1)
