package mgentry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// initRelay creates the relay. It shares the entry's retry budgets and in-flight
// counts, so that both cover requests of every format.
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
	spec.OtherLoads = e.spec.OtherLoads
	spec.TimeLeft = e.remaining
	spec.StopsIn = e.stopsIn
	spec.ReportDeparted = e.spec.ReportDeparted
	spec.Backups = e.spec.Settings.Backups
	spec.Zone = e.spec.Settings.Zone
	spec.Name = e.spec.Settings.Name
	spec.Processes = func() int { return 1 + len(e.spec.View().Peers()) }
	spec.ReportFailed = e.spec.ReportFailed
	spec.ReportAnswered = e.spec.ReportAnswered
	spec.IsLeaving = e.isLeavingUpstream
	spec.IsMissing = e.isMissingUpstream
	spec.CordonAge = e.cordonAge
	spec.AllCordoned = e.isClosedService
	spec.LeavingChanged = e.spec.Changed
	spec.Upstreams = e.directHosts
	spec.AllUpstreams = e.regionHosts
	spec.Engines = e.engines
	spec.SharesProbes = func() bool { return sharesProbes(e.spec.Table()) }
	spec.IncarnationStart = e.incarnationStart
	spec.IsListStale = e.spec.IsListStale
	spec.IsListRecovering = e.spec.IsListRecovering
	spec.ListConfirmedAt = e.spec.ListConfirmedAt
	e.relay = mgrelay.New(spec)
}

// Run moves generations away from leaving upstreams until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	if e.relay != nil {
		e.relay.Run(ctx)
	}
}

// isLeavingUpstream reports whether an upstream is leaving or missing from the
// list of VMs.
func (e *Entry) isLeavingUpstream(name string) bool {
	member, ok := e.spec.View().Agent(name)
	return !ok || member.Leaving() || !member.Listed()
}

// isMissingUpstream reports whether an upstream is missing from the list of VMs
// without having announced that it leaves.
func (e *Entry) isMissingUpstream(name string) bool {
	member, ok := e.spec.View().Agent(name)
	return !ok || !member.Leaving() && !member.Listed()
}

// cordonAge reports whether an upstream's availability zone is cordoned, and how
// long this process has known it.
func (e *Entry) cordonAge(name string) (age mgclock.Millis, cordoned bool) {
	view := e.spec.View()
	member, ok := view.Agent(name)
	if !ok || !member.Cordoned() {
		return 0, false
	}
	return e.spec.Clock.Now() - view.Cordoned()[member.Zone()], true
}

// isClosedService reports whether a service has listed upstreams that are not
// leaving, and the availability zones of all of them are cordoned.
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

// Load returns the count of requests relayed to each upstream.
func (e *Entry) Load() *mgload.Tracker { return &e.load }

// PlacementCandidates returns the directly reached upstreams of a service, with the load that
// this entry and the others have sent there.
func (e *Entry) PlacementCandidates(service string, others mgload.Report) []mgwaitlist.Place {
	table := e.spec.Table()
	if e.relay == nil || table == nil {
		return nil
	}
	return e.relay.PlacementCandidates(table, service, others)
}

// RetryBudgets returns this entry's budgets of retries. The entries share what a service
// allows.
func (e *Entry) RetryBudgets() *mgretry.Budgets { return &e.budgets }

// directHosts returns the upstreams that run a service, that this entry reaches
// without an agent and that accept new work. With several cells these are the
// upstreams of this entry's cell; see restrictToCell.
func (e *Entry) directHosts(service string) []mgrelay.Host {
	fleet := e.fleet()
	return e.relayHosts(service, fleet.directHosts[service], fleet.assignerCount[service])
}

// regionHosts is like directHosts, for the upstreams of all cells.
func (e *Entry) regionHosts(service string) []mgrelay.Host {
	fleet := e.fleet()
	return e.relayHosts(service, fleet.regionHosts[service], fleet.assignerCount[service])
}

func (e *Entry) relayHosts(service string, members []*mgmember.Member, assignerCount int) []mgrelay.Host {
	now, coldWindow := e.spec.Clock.Now(), e.coldWindow(service)
	list := make([]mgrelay.Host, 0, len(members))
	for _, member := range members {
		host := relayHost(member, assignerCount)
		host.Cold = member.Cold(now, coldWindow)
		list = append(list, host)
	}
	return list
}

// relayHost returns a directly reached upstream without whether it is cold.
func relayHost(member *mgmember.Member, assignerCount int) mgrelay.Host {
	return mgrelay.Host{
		Name:             member.Upstream(),
		Addr:             member.Addr(),
		Zone:             member.Zone(),
		Region:           member.Region(),
		FailedRecently:   member.Suspect(),
		IncarnationStart: member.IncarnationStart(),
		SoftwareVersion:  member.SoftwareVersion(),
		Granters:         assignerCount,
	}
}

// sharesProbes reports whether a table calls for probes on behalf of all entries: it has a route of streams with a
// latency goal to a service whose engines state their memory. In other deployments each entry asks for
// itself.
func sharesProbes(table *mgtable.Table) bool {
	if table == nil {
		return false
	}
	for route := range table.Routes() {
		if route.Kind() != mgtable.Stream || route.LatencyGoal() == 0 {
			continue
		}
		for _, share := range route.Services() {
			service := table.Service(share.Service())
			if service == nil {
				continue
			}
			if model := table.Model(service.Model()); model != nil && model.MaxContext() > 0 {
				return true
			}
		}
	}
	return false
}

// engines yields the directly reached upstreams that run services of streams and haven't announced that they
// are leaving, also those that are missing from the list. Those of another region count as used by one cell,
// since its entries share their probes with the entries of their own region only.
func (e *Entry) engines(yield func(mgrelay.Host) bool) {
	table := e.spec.Table()
	if table == nil {
		return
	}
	streamServices := map[string]bool{}
	for route := range table.Routes() {
		if route.Kind() != mgtable.Stream {
			continue
		}
		for _, share := range route.Services() {
			streamServices[share.Service()] = true
		}
	}
	fleet := e.fleet()
	for _, member := range fleet.view.All() {
		if member.Upstream() == "" || member.IsPeer() || member.Leaving() {
			continue
		}
		for _, service := range member.Services() {
			if !streamServices[service] {
				continue
			}
			assignerCount := 1
			if member.Region() == e.spec.Settings.Region {
				assignerCount = fleet.assignerCount[service]
			}
			if !yield(relayHost(member, assignerCount)) {
				return
			}
			break
		}
	}
}

// incarnationStart returns when the current incarnation of an upstream started, or false if
// it isn't on the list of VMs.
func (e *Entry) incarnationStart(name string) (start int64, listed bool) {
	member, ok := e.spec.View().Agent(name)
	if !ok || !member.Listed() {
		return 0, false
	}
	return member.IncarnationStart(), true
}

// coldWindow returns how long an upstream of a service counts as cold after a start.
func (e *Entry) coldWindow(service string) mgclock.Millis {
	table := e.spec.Table()
	if table == nil {
		return 0
	}
	if found := table.Service(service); found != nil {
		return found.ColdPeriod()
	}
	return 0
}

// minCellHosts is the minimum number of a service's upstreams per cell for its
// entries to use only these: with fewer, the failure of one would take too large
// a part of the capacity.
const minCellHosts = 12

// restrictToCell restricts each service's upstreams to those of this entry's
// cell, so that the load known in the cell is all the load that they get.
func (f *fleet) restrictToCell(cell mgmember.Cell) {
	f.regionHosts = maps.Clone(f.directHosts)
	for service, all := range f.regionHosts {
		f.assignerCount[service] = cell.Count
		if cell.Count > 1 && len(all) >= minCellHosts*cell.Count {
			f.directHosts[service] = mgmember.CellPart(all, cell.Index, cell.Count)
			f.assignerCount[service] = 1
		}
	}
}

// unreadyRetryDelay is the delay before a caller retries, at another entry or at
// this one while it starts: a start takes 50 ms once the platform responds.
const unreadyRetryDelay = 100 * mgclock.Millis(1)

// deny refuses a request that the table in force doesn't allow. If there may be a
// newer table, the caller is asked to retry, since callers treat a denial as
// final.
func (e *Entry) deny(w http.ResponseWriter, r *http.Request, table *mgtable.Table, refusal func(w http.ResponseWriter)) {
	certain := e.spec.TableConfirmed == nil || e.spec.TableConfirmed()
	if e.relay != nil {
		e.spec.Log.Info("request not allowed: the table in force has no such route or key",
			mglog.Request, r.Header.Get(e.spec.Relay.Headers.ID), "host", r.Host, "path", r.URL.Path,
			mglog.Version, table.Version(), "certain", certain)
	}
	if certain {
		e.spec.Metrics.Counter("denied").Inc(1)
		refusal(w)
		return
	}
	e.spec.Metrics.Counter("doubted").Inc(1)
	e.refuse(w, mgproblem.New(mgproblem.NotReady, mgproblem.NotRun,
		"the table in force here may not be the newest, and has no such route or key",
		"send it again after the time given").WithRetryAfter(staleTableRetryDelay))
}

// staleTableRetryDelay is the delay before a caller retries a request whose route
// or key is unknown here. The platform is queried again within about as long.
const staleTableRetryDelay = mgclock.Second

// notFound handles a request that matches neither a route of the table nor the
// entry's own interface.
func (e *Entry) notFound(w http.ResponseWriter, r *http.Request) {
	missing := func(w http.ResponseWriter) {
		mgproblem.Write(w, mgproblem.New(mgproblem.NotFound, mgproblem.NotRun,
			"no such path", "see the list of paths in docs/OPERATIONS.md"))
	}
	table := e.spec.Table()
	if table == nil {
		missing(w)
		return
	}
	e.deny(w, r, table, missing)
}

// relayRouted passes requests that match the table's routes to the relay and all
// others to the entry's own interface.
func (e *Entry) relayRouted(next http.Handler) http.Handler {
	if e.relay == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		table := e.spec.Table()
		if table == nil {
			e.refuse(w, mgproblem.New(mgproblem.NotReady, mgproblem.NotRun,
				"no configuration is in force yet", "try another entry").WithRetryAfter(unreadyRetryDelay))
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
