package mgrelay

import (
	"context"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// originAt returns the origin of a stream that an upstream of a service produces. Its version
// is unknown if the list meanwhile states another incarnation than host is: which of the two
// produced the stream can't be told.
func (y *Relay) originAt(service string, host Host) mgorigin.Origin {
	origin := mgorigin.Origin{
		Service: service,
		Version: host.SoftwareVersion,
	}
	if y.spec.IncarnationStart == nil {
		return origin
	}
	if start, listed := y.spec.IncarnationStart(host.Name); listed && start != host.IncarnationStart {
		origin.Version = ""
	}
	return origin
}

// upstreamsFor returns the upstreams at which a stream with an origin may continue. They
// include those that this process leaves to others if none of its own runs the version.
func (y *Relay) upstreamsFor(service string, origin mgorigin.Origin) []Host {
	rejects := func(host Host) bool { return !origin.Accepts(service, host.SoftwareVersion) }
	hosts := slices.DeleteFunc(slices.Clone(y.spec.Upstreams(service)), rejects)
	if len(hosts) == 0 && origin != (mgorigin.Origin{}) && y.spec.AllUpstreams != nil {
		hosts = slices.DeleteFunc(y.spec.AllUpstreams(service), rejects)
	}
	return hosts
}

// mayContinueAt reports whether the next events of a caller's stream may come from an upstream.
func (y *Relay) mayContinueAt(x *exchange, host Host) bool {
	at := y.originAt(x.service, host)
	return x.origin.Accepts(at.Service, at.Version)
}

// canContinue reports whether a stream whose caller has events may be sent to some upstream.
func (y *Relay) canContinue(x *exchange) bool {
	if x.origin == (mgorigin.Origin{}) {
		return true
	}
	if x.begunAt.Name != "" && y.originAt(x.service, x.begunAt) != x.origin {
		return false
	}
	return len(y.upstreamsFor(x.service, x.origin)) > 0
}

// isResumption reports whether a caller resumes a stream of which it has received events.
func (y *Relay) isResumption(x *exchange) bool {
	names := &y.spec.Headers
	return x.header.Get(names.LastEventID) != "" || x.header.Get(names.Resumes) != ""
}

// originLife is how much longer than its caller's time the origin of a stream is recorded.
const originLife = mgclock.Second

// accountName returns the name of the request's client account, "" if it needs none.
func (x *exchange) accountName() string {
	if x.call.Account == nil {
		return ""
	}
	return x.call.Account.Name()
}

// bindToOrigin makes a stream that its caller resumes continue only where it fits. It returns a
// problem if that is unknown, or nowhere.
func (y *Relay) bindToOrigin(ctx context.Context, x *exchange) *mgproblem.Problem {
	if x.call.Route.Kind() != mgtable.Stream {
		return nil
	}
	x.isRecorded = x.call.Route.Resumes()
	if !y.isResumption(x) {
		x.originKey = mgorigin.KeyOf(x.accountName(), x.id)
		return nil
	}
	x.originKey = mgorigin.KeyOf(x.accountName(), x.header.Get(y.spec.Headers.Resumes))
	found := y.spec.Origins.Find(ctx, x.originKey)
	if !found.Known {
		problem := mgproblem.New(mgproblem.Unresumable, mgproblem.NotRun,
			"it isn't known which software version began the stream", "send the request again from its beginning")
		if !found.Complete {
			problem = problem.WithRetryAfter(retryDelayUnknownOrigin)
		}
		return problem
	}
	if !x.call.Route.HasService(found.Origin.Service) {
		return mgproblem.New(mgproblem.Unresumable, mgproblem.NotRun,
			"the route no longer leads to the service that began the stream", "send the request again from its beginning")
	}
	x.service = found.Origin.Service
	x.origin = found.Origin
	if !y.canContinue(x) {
		return y.noCapacityProblem(x)
	}
	return nil
}

// retryDelayUnknownOrigin is the Retry-After for a caller whose stream's origin may become known
// once another process answers.
const retryDelayUnknownOrigin = mgclock.Second

// announceOrigin records which version a stream is about to begin at.
func (y *Relay) announceOrigin(x *exchange, host Host) {
	if !x.isRecorded {
		return
	}
	origin := x.origin
	if origin == (mgorigin.Origin{}) {
		origin = y.originAt(x.service, host)
	}
	y.spec.Origins.Announce(mgorigin.Record{
		Key:     x.originKey,
		Service: origin.Service,
		Version: origin.Version,
		Left:    x.timeLeft(y.spec.Clock.Now()) + originLife,
	})
}

// confirmOrigin binds a stream to the upstream that is about to produce its first event. It
// returns a problem if other processes may have recorded another origin.
func (y *Relay) confirmOrigin(ctx context.Context, x *exchange, host Host) *mgproblem.Problem {
	if x.headerSent {
		return nil
	}
	if x.origin == (mgorigin.Origin{}) {
		y.announceOrigin(x, host)
		x.origin = y.originAt(x.service, host)
	}
	if !x.isRecorded || y.spec.Origins.Confirm(ctx, x.originKey) {
		return nil
	}
	return mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
		"other processes may have recorded another software version for the stream", "send the request again if it may run twice")
}
