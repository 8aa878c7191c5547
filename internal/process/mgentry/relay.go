package mgentry

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgroom"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// initRelay makes the relay out of what the entry already has: one set of retry
// budgets and one count of what is in flight, whatever form a request has.
func (e *Entry) initRelay() {
	if e.spec.Relay == nil {
		return
	}
	spec := *e.spec.Relay
	spec.Clock = e.spec.Clock
	spec.Log = e.spec.Log
	spec.Metrics = e.spec.Metrics
	spec.Budgets = &e.budgets
	spec.Quarantine = e.spec.Quarantine
	spec.Load = &e.load
	spec.Others = e.spec.Others
	spec.Left = e.remaining
	spec.Departed = e.spec.Left
	spec.Zone = e.spec.Settings.Zone
	spec.Name = e.spec.Settings.Name
	spec.Processes = func() int { return 1 + len(e.spec.View().Peers()) }
	spec.Failed = e.spec.Failed
	spec.Answered = e.spec.Answered
	spec.Leaving = e.isLeavingUpstream
	spec.Missing = e.isMissingUpstream
	spec.Cordoned = e.cordonAge
	spec.Closed = e.isClosedService
	spec.Changed = e.spec.Changed
	spec.Every = e.directHosts
	spec.Stale = e.spec.Stale
	e.relay = mgrelay.New(spec)
}

// Run moves generations away from upstreams that leave, until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	if e.relay != nil {
		e.relay.Run(ctx)
	}
}

// isLeavingUpstream reports whether an upstream leaves or is gone from the list.
func (e *Entry) isLeavingUpstream(name string) bool {
	member, ok := e.spec.View().Agent(name)
	return !ok || member.Leaving() || !member.Listed()
}

// isMissingUpstream reports whether the list lacks an upstream that hasn't said that it
// leaves.
func (e *Entry) isMissingUpstream(name string) bool {
	member, ok := e.spec.View().Agent(name)
	return !ok || !member.Leaving() && !member.Listed()
}

// cordonAge reports whether an upstream's availability zone gets no new work,
// and how long that has been known here.
func (e *Entry) cordonAge(name string) (age mgclock.Millis, cordoned bool) {
	view := e.spec.View()
	member, ok := view.Agent(name)
	if !ok || !member.Cordoned() {
		return 0, false
	}
	return e.spec.Clock.Now() - view.Cordoned()[member.Zone()], true
}

// isClosedService reports whether upstreams of a service stay, and the availability zones
// of all of them are cordoned.
func (e *Entry) isClosedService(service string) bool {
	cordoned := false
	for _, member := range e.spec.View().All() {
		if member.Leaving() || !member.Listed() || !slices.Contains(member.Services(), service) {
			continue
		}
		if !member.Cordoned() {
			return false
		}
		cordoned = true
	}
	return cordoned
}

// Load returns the count of what was relayed to each upstream.
func (e *Entry) Load() *mgload.Count { return &e.load }

// Places returns the upstreams of a service that are reached directly, by what
// this and the other entries have sent there.
func (e *Entry) Places(service string, others mgload.Report) []mgroom.Place {
	table := e.spec.Table()
	if e.relay == nil || table == nil {
		return nil
	}
	return e.relay.Places(table, service, others)
}

// BoundRetries sets the most retries of each service that this entry holds,
// where the entries share what a service allows.
func (e *Entry) BoundRetries(limit int) { e.budgets.Bound(limit) }

// directHosts returns all upstreams that run a service, are reached directly and
// stay.
func (e *Entry) directHosts(service string) []mgrelay.Host {
	fleet := e.fleet()
	hosts := fleet.directHosts[service]
	now, coldWindow := e.spec.Clock.Now(), e.coldWindow(service)
	list := make([]mgrelay.Host, 0, len(hosts))
	for _, member := range hosts {
		list = append(list, mgrelay.Host{
			Name:    member.Upstream(),
			Addr:    member.Addr(),
			Zone:    member.Zone(),
			Region:  member.Region(),
			Suspect: member.Suspect(),
			Cold:    member.Cold(now, coldWindow),
			Born:    member.Born(),
			Givers:  fleet.assignerCount[service],
		})
	}
	return list
}

// coldWindow returns for how long an upstream of a service is cold after its start.
func (e *Entry) coldWindow(service string) mgclock.Millis {
	table := e.spec.Table()
	if table == nil {
		return 0
	}
	if found := table.Service(service); found != nil {
		return found.Cold()
	}
	return 0
}

// minCellHosts is the least number of a service's upstreams that a cell must have for
// its entries to keep to these: of fewer one that fails is too much.
const minCellHosts = 12

// restrictToCell gives this entry's cell its part of each service's upstreams, so that
// what it knows of them is what all that use them have sent.
func (f *fleet) restrictToCell(cell mgmember.Cell) {
	for service, all := range f.directHosts {
		f.assignerCount[service] = cell.Of
		if cell.Of > 1 && len(all) >= minCellHosts*cell.Of {
			f.directHosts[service] = mgmember.Part(all, cell.Number, cell.Of)
			f.assignerCount[service] = 1
		}
	}
}

// unreadyRetryDelay is the pause before a caller turns to another entry, or to this
// one that is starting: it takes 50 ms once the platform answers.
const unreadyRetryDelay = 100 * mgclock.Millis(1)

// deny answers a request that the table in force doesn't allow. Where there may be a newer
// table it is told to come back, since callers take a denial for the last word.
func (e *Entry) deny(w http.ResponseWriter, r *http.Request, table *mgtable.Table, refusal func(w http.ResponseWriter)) {
	certain := e.spec.Certain == nil || e.spec.Certain()
	if e.relay != nil {
		e.spec.Log.Info("the table in force has no such route or key",
			mglog.Request, r.Header.Get(e.spec.Relay.Form.ID), "host", r.Host, "path", r.URL.Path,
			mglog.Version, table.Version(), "certain", certain)
	}
	if certain {
		e.spec.Metrics.Counter("denied").Inc(1)
		refusal(w)
		return
	}
	e.spec.Metrics.Counter("doubted").Inc(1)
	e.refuse(w, mgproblem.New(mgproblem.Unready, mgproblem.NotRun,
		"the table in force here may not be the newest, and has no such route or key",
		"send it again after the time given").WithRetry(staleTableRetryDelay))
}

// staleTableRetryDelay is when a caller may come back whose route or key isn't known here: the
// platform is asked again within about as long.
const staleTableRetryDelay = mgclock.Second

// notFound answers a request that neither a route nor the own interface takes.
func (e *Entry) notFound(w http.ResponseWriter, r *http.Request) {
	missing := func(w http.ResponseWriter) {
		mgproblem.Write(w, mgproblem.New(mgproblem.Missing, mgproblem.NotRun,
			"no such path", "see the list of paths in docs/OPERATIONS.md"))
	}
	table := e.spec.Table()
	if table == nil {
		missing(w)
		return
	}
	e.deny(w, r, table, missing)
}

// relayRouted passes requests through that the table's routes name; others are
// requests of the entry's own interface.
func (e *Entry) relayRouted(next http.Handler) http.Handler {
	if e.relay == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		table := e.spec.Table()
		if table == nil {
			e.refuse(w, mgproblem.New(mgproblem.Unready, mgproblem.NotRun,
				"no configuration is in force yet", "try another entry").WithRetry(unreadyRetryDelay))
			return
		}
		path, _, _ := strings.Cut(r.RequestURI, "?")
		if !strings.HasPrefix(path, "/") {
			path = r.URL.EscapedPath()
		}
		route := table.Route(r.Host, path)
		if route == nil {
			next.ServeHTTP(w, r)
			return
		}
		account := accountByKey(table, r)
		if account == nil && !route.Public() {
			e.deny(w, r, table, e.refuseUnknownKey)
			return
		}
		e.relay.Serve(w, r, mgrelay.Call{
			Table:   table,
			Route:   route,
			Account: account,
		})
	})
}
