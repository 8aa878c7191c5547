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

// Spec is what an entry is made of.
type Spec struct {
	Settings mgsettings.Entry
	Clock    mgclock.Clock
	Log      logr.Logger
	Metrics  *mgmetric.Set
	Seal     *mgseal.Signer
	// Table returns the table in force, or nil while there is none.
	Table func() *mgtable.Table
	// Certain reports whether that table was the newest a moment ago, so that what it
	// doesn't name isn't there. Nil stands for yes.
	Certain func() bool
	// Seen tells that another process goes by a version.
	Seen func(version uint64, from string)
	// View returns the other processes as they are known now.
	View func() *mgmember.View
	// Failed tells of a process that could not be reached, Heard of one's word
	// of itself.
	Failed func(name string)
	Heard  func(name, incarnation string, leaving bool)
	// Acquire returns this entry's slice of an account's caps, and false for an
	// account without caps; Running tells how many streams of it run here.
	// Without Acquire no account has caps.
	Acquire func(ctx context.Context, account string, tokens float64) (mgshare.Slice, bool)
	Running func(account string, count int)
	// Calls is for calls to agents, Frames opens each stream on a connection of
	// its own.
	Calls  http.RoundTripper
	Frames http.RoundTripper
	// Quarantine holds requests back that crash upstreams. New makes one where it is nil.
	Quarantine *mgquarantine.Quarantine
	// Relay passes the requests through that the table's routes name. Without
	// it the table's routes have no effect.
	Relay *mgrelay.Spec
	// Answered tells of an upstream that a relayed request reached.
	Answered func(name string)
	// Elsewhere reports whether a caller that this entry turns away while it
	// stops likely finds one that stays. Nil stands for yes.
	Elsewhere func() bool
	// Others returns what the other entries have sent to upstreams.
	Others func() mgload.Report
	// Stale reports whether the list of VMs may lack what has changed, and Left
	// is told of an upstream that says itself that it leaves.
	Stale func() bool
	Left  func(name string)
	// Changed returns a channel that is closed when View is next replaced.
	Changed func() <-chan struct{}
	// Base returns the URL of an agent's address.
	Base func(address string) string
}

// An Entry answers callers. Make one with New.
type Entry struct {
	spec         Spec
	signer       *mganswer.Signer
	clients      sync.Map // base URL to mgrpc.Agent
	frames       *http.Client
	currentFleet atomic.Pointer[fleet]
	budgets      mgretry.Budgets
	relay        *mgrelay.Relay // nil without Spec.Relay
	load         mgload.Count   // of relayed requests
	hedges       hedges
	caps         accountCaps
	busy         atomic.Int64
	leaving      atomic.Bool
	stopTime     atomic.Int64  // when a stopping process ends, ms of its clock; 0: it doesn't stop
	attemptCount atomic.Uint64 // attempts so far
	epoch        string        // names this process's attempts

	fleetMu sync.Mutex // held while a fleet is prepared
}

// New returns an entry; epoch is unique to this life of the process.
func New(spec Spec, epoch string) *Entry {
	if spec.Quarantine == nil {
		spec.Quarantine = &mgquarantine.Quarantine{}
	}
	e := &Entry{
		spec:   spec,
		signer: mganswer.NewSigner(spec.Seal),
		frames: &http.Client{Transport: spec.Frames},
		epoch:  epoch,
	}
	e.initRelay()
	return e
}

// Stopping tells that the process ends at a time. Requests that can't end by
// then are refused from now on, and each answer asks its caller for a new
// connection, which reaches another entry: callers that keep theirs would all be
// refused when Leave comes.
func (e *Entry) Stopping(end mgclock.Millis) { e.stopTime.Store(int64(end)) }

// remaining returns how long the process still lives, or false when it doesn't stop,
// or a caller would fare no better elsewhere.
func (e *Entry) remaining() (mgclock.Millis, bool) {
	end := mgclock.Millis(e.stopTime.Load())
	if end == 0 || e.spec.Elsewhere != nil && !e.spec.Elsewhere() {
		return 0, false
	}
	return end - e.spec.Clock.Now(), true
}

// Leave makes the entry refuse new requests; those in progress go on.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Busy returns the number of requests in progress.
func (e *Entry) Busy() int { return int(e.busy.Load()) }

// Routes returns the callers' handler.
func (e *Entry) Routes() http.Handler {
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

// countRequests keeps the number of requests in progress and turns new ones away once
// the entry is leaving: the balancer may send some until it has noticed.
func (e *Entry) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.busy.Add(1)
		defer e.busy.Add(-1)
		if e.stopTime.Load() > 0 {
			w.Header().Set("Connection", "close")
		}
		if e.leaving.Load() {
			e.refuse(w, leavingProblem())
			return
		}
		next.ServeHTTP(w, r)
	})
}

// leavingProblem is told of a request that a stopping entry doesn't take.
func leavingProblem() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Leaving, mgproblem.NotRun,
		"this entry is leaving", "send the request again on a new connection").WithRetry(leaveRetryDelay)
}

// leaveRetryDelay is the pause before a caller turns to another entry: none is
// needed but for the balancer's way.
const leaveRetryDelay = 20 * mgclock.Millis(1)

// refuse answers with a problem in the form of the deployment's callers.
func (e *Entry) refuse(w http.ResponseWriter, problem *mgproblem.Problem) {
	if e.relay != nil {
		e.relay.Write(w, problem)
		return
	}
	w.Header().Set("Connection", "close")
	mgproblem.Write(w, problem)
}

// limitBody limits a request's body.
func (e *Entry) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, e.spec.Settings.Body)
		next.ServeHTTP(w, r)
	})
}

// caller is what an authenticated request goes by: one table from its start
// to its end.
type caller struct {
	account *mgtable.Account
	table   *mgtable.Table
}

type handler func(w http.ResponseWriter, r *http.Request, c caller)

// authenticate authenticates the caller by its key.
func (e *Entry) authenticate(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		table := e.spec.Table()
		if table == nil {
			mgproblem.Write(w, mgproblem.New(mgproblem.Unready, mgproblem.NotRun,
				"no configuration is in force yet", "try another entry").WithRetry(mgclock.Second))
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

// accountByKey returns the account whose key a request carries, or nil.
func accountByKey(table *mgtable.Table, r *http.Request) *mgtable.Account {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return table.ByKey(key)
}

// refuseUnknownKey refuses a caller without a key of the table.
func (e *Entry) refuseUnknownKey(w http.ResponseWriter) {
	e.spec.Metrics.Counter("strangers").Inc(1)
	mgproblem.Write(w, mgproblem.New(mgproblem.Stranger, mgproblem.NotRun,
		"no client account has this key", "send Authorization: Bearer and a key of the table"))
}

// newRandom returns a source of newRandom numbers for one request. Requests run on
// many goroutines and a shared source would need a lock.
func (e *Entry) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// State is the entry's part of the dump.
type State struct {
	Busy     int    `json:"busy"`
	Leaving  bool   `json:"leaving"`
	Attempts uint64 `json:"attempts"`
	Agents   int    `json:"agents"`
	Capped   int    `json:"capped"` // accounts whose caps are counted here
}

// State returns what the entry holds, in numbers.
func (e *Entry) State() State {
	return State{
		Busy:     e.Busy(),
		Leaving:  e.leaving.Load(),
		Attempts: e.attemptCount.Load(),
		Agents:   e.fleet().routes.Len(),
		Capped:   e.caps.Len(),
	}
}
