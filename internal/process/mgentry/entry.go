package mgentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbody"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mganswer"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgshare"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// Spec holds the settings and dependencies of an entry.
type Spec struct {
	Settings mgsettings.Entry
	Clock    mgclock.Clock
	Log      logr.Logger
	Metrics  *mgmetric.Set
	Signer   *mgseal.Signer
	// Table returns the table in force, or nil before the first one.
	Table func() *mgtable.Table
	// TableConfirmed reports whether the table in force was recently confirmed to be the
	// newest, so that a name it lacks does not exist. Nil means always.
	TableConfirmed func() bool
	// ObserveVersion reports the table version that another process uses.
	ObserveVersion func(version uint64, from string)
	// View returns the current view of the other processes.
	View func() *mgmember.View
	// ReportFailed reports a process that could not be reached. ReportAnnouncement reports what a
	// process has announced about itself.
	ReportFailed       func(name string)
	ReportAnnouncement func(name, incarnation string, leaving bool)
	// Acquire returns this entry's share of an account's caps, and false for an
	// account without caps. ReportRunning reports how many of the account's streams run
	// on this entry. If Acquire is nil, no account has caps.
	Acquire       func(ctx context.Context, account string, tokens float64) (mgshare.Slice, bool)
	ReportRunning func(account string, count int)
	// Calls carries calls to agents. Frames opens each stream on a connection of
	// its own.
	Calls  http.RoundTripper
	Frames http.RoundTripper
	// Quarantine holds back requests that crash upstreams. New creates one if it is
	// nil.
	Quarantine *mgquarantine.Quarantine
	// Relay forwards the requests that match the table's routes. If it is nil, the
	// routes have no effect.
	Relay *mgrelay.Spec
	// ReportAnswered reports that a relayed request reached an upstream.
	ReportAnswered func(name string)
	// OthersStay reports whether a caller that this entry refuses while it stops
	// will probably reach an entry that is not stopping. Nil means always.
	OthersStay func() bool
	// OtherLoads returns the load that the other entries have sent to upstreams.
	OtherLoads func() mgload.Report
	// IsListStale reports whether the list of VMs may be out of date. ReportDeparted reports an
	// upstream that has announced that it is leaving.
	IsListStale func() bool
	// IsListRecovering reports whether the list may be as in a backup; see mgrelay.Spec.
	IsListRecovering func() bool
	// ListConfirmedAt returns when the platform last confirmed the list; see mgrelay.Spec.
	ListConfirmedAt func() mgclock.Millis
	ReportDeparted  func(name string)
	// Changed returns a channel that is closed when the view is next replaced.
	Changed func() <-chan struct{}
	// BaseURL returns the base URL for an agent's address.
	BaseURL func(address string) string
}

// Entry serves callers. Create one with New.
type Entry struct {
	spec         Spec
	signer       *mganswer.Signer
	clients      sync.Map // base URL to mgrpc.Agent
	frames       *http.Client
	currentFleet atomic.Pointer[fleet]
	budgets      mgretry.Budgets
	relay        *mgrelay.Relay // nil without Spec.Relay
	load         mgload.Tracker // of relayed requests
	hedges       hedges
	caps         accountCaps
	busy         atomic.Int64
	leaving      atomic.Bool
	stopTime     atomic.Int64 // ms of the process clock; 0 if the process is not stopping
	attemptCount atomic.Uint64
	epoch        string // prefix of the attempt IDs

	fleetMu sync.Mutex // held while a fleet is built
}

// New returns an entry; epoch is unique to this incarnation of the process.
func New(spec Spec, epoch string) *Entry {
	if spec.Quarantine == nil {
		spec.Quarantine = &mgquarantine.Quarantine{}
	}
	e := &Entry{
		spec:   spec,
		signer: mganswer.NewSigner(spec.Signer),
		frames: &http.Client{Transport: spec.Frames},
		epoch:  epoch,
	}
	e.initRelay()
	return e
}

// AnnounceStop announces the time at which the process stops. Requests that can't
// end by then are refused from now on. Each response asks its caller to open a
// new connection, which reaches another entry: otherwise all callers that keep
// their connections would be refused at once when Leave is called.
func (e *Entry) AnnounceStop(end mgclock.Millis) { e.stopTime.Store(int64(end)) }

// remaining returns the time until the process stops. It returns false if the
// process is not stopping or a caller would fare no better at another entry.
func (e *Entry) remaining() (mgclock.Millis, bool) {
	if e.spec.OthersStay != nil && !e.spec.OthersStay() {
		return 0, false
	}
	return e.stopsIn()
}

// stopsIn returns the time until the process stops, or false if it is not stopping.
func (e *Entry) stopsIn() (mgclock.Millis, bool) {
	end := mgclock.Millis(e.stopTime.Load())
	if end == 0 {
		return 0, false
	}
	return end - e.spec.Clock.Now(), true
}

// Leave makes the entry refuse new requests; those in progress continue.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Busy returns the number of requests in progress.
func (e *Entry) Busy() int { return int(e.busy.Load()) }

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(e.countRequests)
	router.Use(e.limitBody)
	router.Use(e.relayRouted)
	router.NotFound(e.notFound)
	router.Group(func(callers chi.Router) {
		callers.Post("/v1/chat/completions", e.authenticate(e.chat))
		callers.Post("/v1/completions", e.authenticate(e.complete))
		callers.Get("/v1/models", e.authenticate(e.models))
		callers.Get("/v1/answers/{answer}", e.authenticate(e.resume))
		callers.Delete("/v1/answers/{answer}", e.authenticate(e.cancel))
		callers.Post("/v1/services/{service}/operations", e.authenticate(e.mintOperation))
		callers.HandleFunc("/v1/services/{service}/*", e.authenticate(e.callService))
	})
	return router
}

// countRequests tracks the number of requests in progress and refuses new ones
// once the entry is leaving: the load balancer may keep sending some until it
// notices.
func (e *Entry) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.busy.Add(1)
		defer e.busy.Add(-1)
		if mglistener.HasPeerClosed(mglistener.RequestConn(r.Context())) {
			// The request lay unread until its caller gave it up.
			e.spec.Metrics.Counter("callers.left").Inc(1)
			panic(http.ErrAbortHandler)
		}
		if e.stopTime.Load() > 0 {
			w.Header().Set("Connection", "close")
		}
		if e.leaving.Load() {
			e.refuse(w, leavingProblem())
			return
		}
		// A body may take longer to arrive than the entry takes to leave.
		mgbody.CheckEnd(r, e.checkStays)
		next.ServeHTTP(w, r)
	})
}

// checkStays returns the refusal of requests that arrive while the entry is leaving, otherwise nil.
func (e *Entry) checkStays() error {
	if e.leaving.Load() {
		return leavingProblem()
	}
	return nil
}

// leavingProblem returns the refusal of a request to an entry that is leaving.
func leavingProblem() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Leaving, mgproblem.NotRun,
		"this entry is leaving", "send the request again on a new connection").WithRetryAfter(leaveRetryDelay)
}

// leaveRetryDelay is the delay before a caller retries at another entry. It only
// covers the path through the load balancer.
const leaveRetryDelay = 20 * mgclock.Millis(1)

// refuse writes a problem in the relay's format if the entry has a relay, and as
// problem+json otherwise.
func (e *Entry) refuse(w http.ResponseWriter, problem *mgproblem.Problem) {
	if e.relay != nil {
		e.relay.WriteProblem(w, problem)
		return
	}
	w.Header().Set("Connection", "close")
	mgproblem.Write(w, problem)
}

// limitBody limits the size of a request's body.
func (e *Entry) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mgbody.Limit(w, r, e.spec.Settings.MaxBody)
		next.ServeHTTP(w, r)
	})
}

// caller is an authenticated account and the table that applies to its request
// from start to end.
type caller struct {
	account *mgtable.Account
	table   *mgtable.Table
}

type handler func(w http.ResponseWriter, r *http.Request, c caller)

// authenticate identifies the account by the key in the request.
func (e *Entry) authenticate(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		table := e.spec.Table()
		if table == nil {
			mgproblem.Write(w, mgproblem.New(mgproblem.NotReady, mgproblem.NotRun,
				"no configuration is in force yet", "try another entry").WithRetryAfter(mgclock.Second))
			return
		}
		account := accountByKey(table, r)
		if account == nil {
			e.deny(w, r, table, e.refuseUnknownKey)
			return
		}
		next(w, r, caller{
			account: account,
			table:   table,
		})
	}
}

// accountByKey returns the account whose key the request carries, or nil.
func accountByKey(table *mgtable.Table, r *http.Request) *mgtable.Account {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return table.AccountByKey(key)
}

// refuseUnknownKey refuses a caller whose key is not in the table.
func (e *Entry) refuseUnknownKey(w http.ResponseWriter) {
	e.spec.Metrics.Counter("strangers").Inc(1)
	mgproblem.Write(w, mgproblem.New(mgproblem.Unauthenticated, mgproblem.NotRun,
		"no client account has this key", "send Authorization: Bearer and a key of the table"))
}

// newRandom returns a source of random numbers for one request. Requests run
// concurrently, and a shared source would need a lock.
func (e *Entry) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// State is the entry's section of the state dump.
type State struct {
	Busy     int    `json:"busy"`
	Leaving  bool   `json:"leaving"`
	Attempts uint64 `json:"attempts"`
	Agents   int    `json:"agents"`
	Capped   int    `json:"capped"` // accounts whose cap usage this entry tracks
}

// State returns counts that describe the current state of the entry.
func (e *Entry) State() State {
	return State{
		Busy:     e.Busy(),
		Leaving:  e.leaving.Load(),
		Attempts: e.attemptCount.Load(),
		Agents:   e.fleet().routes.Len(),
		Capped:   e.caps.Len(),
	}
}
