package mgrelay

import (
	"context"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// originAt returns the origin of a stream that an upstream of a service produces, according to
// the list. Its version is unknown if the list meanwhile states another incarnation than host
// is: which of the two produced the stream can't be told.
func (y *Relay) originAt(service string, host Host) mgorigin.Origin {
	origin := mgorigin.Origin{
		Service: service,
		Version: host.SoftwareVersion,
	}
	if !y.isListed(host.Name, host.IncarnationStart) {
		origin.Version = ""
	}
	return origin
}

// isListed reports whether the list has no other incarnation of an upstream than one that
// started at a time.
func (y *Relay) isListed(upstream string, start int64) bool {
	if y.spec.IncarnationStart == nil {
		return true
	}
	listed, ok := y.spec.IncarnationStart(upstream)
	return !ok || listed == start
}

const (
	// confirmTimeout limits the wait for the platform's confirmation of the list. An entry
	// receives one within 200 ms from its hub, and within a second by its own watch.
	confirmTimeout = mgclock.Second
	// confirmInterval is the interval at which the confirmation is checked.
	confirmInterval = 10 * mgclock.Millis(1)
)

// isIncarnation reports whether an upstream was, at a time, the incarnation that host states. An
// upstream may restart under its name with another software version, and the list shows that
// late. So it returns true only if the list was confirmed since, or the upstream itself states
// that it is this incarnation.
func (y *Relay) isIncarnation(ctx context.Context, host Host, since mgclock.Millis) bool {
	if host.IncarnationStart == 0 || y.spec.ListConfirmedAt == nil {
		return y.isListed(host.Name, host.IncarnationStart)
	}
	asked := false
	for end := y.spec.Clock.Now() + confirmTimeout; y.spec.Clock.Now() < end; {
		confirmed := y.spec.ListConfirmedAt() > since
		if !y.isListed(host.Name, host.IncarnationStart) {
			return false
		}
		if confirmed {
			return true
		}
		if !asked && y.spec.AskIncarnation != nil {
			asked = true
			askCtx, cancel := context.WithTimeout(ctx, destinationProbeTimeout.Duration())
			start, err := y.spec.AskIncarnation(askCtx, host)
			cancel()
			if err == nil {
				return start == host.IncarnationStart
			}
		}
		if !y.spec.Clock.Sleep(ctx, confirmInterval) {
			return false
		}
	}
	return false
}

// upstreamsFor returns the upstreams at which a stream with an origin may continue. They
// include those that this process leaves to others if none of its own runs the version.
func (y *Relay) upstreamsFor(service string, origin mgorigin.Origin) []Host {
	rejects := func(host Host) bool { return !origin.Accepts(service, host.SoftwareVersion) }
	hosts := slices.DeleteFunc(slices.Clone(y.spec.Upstreams(service)), rejects)
	if len(hosts) == 0 && origin != (mgorigin.Origin{}) && y.spec.AllUpstreams != nil {
		hosts = slices.DeleteFunc(slices.Clone(y.spec.AllUpstreams(service)), rejects)
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
	if !x.call.Route.HasService(found.Record.Service) {
		return mgproblem.New(mgproblem.Unresumable, mgproblem.NotRun,
			"the route no longer leads to the service that began the stream", "send the request again from its beginning")
	}
	began := Host{
		Name:             found.Record.Upstream,
		IncarnationStart: found.Record.Start,
	}
	if y.spec.Headers.Software == "" && !y.isIncarnation(ctx, began, y.spec.Clock.Now()) {
		return mgproblem.New(mgproblem.Unresumable, mgproblem.NotRun,
			"the upstream that began the stream may have run another software version than was known",
			"send the request again from its beginning")
	}
	x.service = found.Record.Service
	x.origin = found.Record.Origin()
	if !y.canContinue(x) {
		return y.noCapacityProblem(x)
	}
	if x.isRecorded {
		// The process that relayed the stream before may have ended, and with it a copy.
		record := found.Record
		record.Left = x.timeLeft(y.spec.Clock.Now()) + originLife
		y.spec.Origins.Announce(record)
	}
	return nil
}

// retryDelayUnknownOrigin is the Retry-After for a caller whose stream's origin may become known
// once another process answers.
const retryDelayUnknownOrigin = mgclock.Second

// announceOrigin records which version a stream is about to begin at. The record of a stream that
// continues stays as it is.
func (y *Relay) announceOrigin(x *exchange, host Host) {
	if x.origin == (mgorigin.Origin{}) {
		y.recordOrigin(x, y.originAt(x.service, host), host)
	}
}

// recordOrigin announces the origin of a stream that begins at an upstream.
func (y *Relay) recordOrigin(x *exchange, origin mgorigin.Origin, host Host) {
	if !x.isRecorded {
		return
	}
	record := mgorigin.Record{
		Key:     x.originKey,
		Service: origin.Service,
		Version: origin.Version,
		Left:    x.timeLeft(y.spec.Clock.Now()) + originLife,
	}
	if host.IncarnationStart != 0 && y.spec.Headers.Software == "" {
		record.Upstream, record.Start = host.Name, host.IncarnationStart
	}
	y.spec.Origins.Announce(record)
}

// confirmOrigin binds a stream to the upstream that is about to produce its first event, and
// makes sure that one that continues a stream fits. It returns a problem if the upstream's events
// must not be forwarded.
func (y *Relay) confirmOrigin(ctx context.Context, x *exchange, host Host) *mgproblem.Problem {
	if x.origin != (mgorigin.Origin{}) {
		if x.copied && !x.fromBackup || y.isVersionCertain(ctx, x.statedVersion, host, y.spec.Clock.Now()) {
			return nil
		}
		return mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
			"the upstream may run another software version than is known", "send the request again if it may run twice")
	}
	x.origin = y.originAt(x.service, host)
	if y.spec.Headers.Software != "" {
		x.origin.Version = x.statedVersion // the list may not show this incarnation yet
	}
	y.recordOrigin(x, x.origin, host)
	x.begunAt, x.begunAtTime = host, y.spec.Clock.Now()
	if !x.isRecorded || y.spec.Origins.Confirm(ctx, x.originKey) {
		return nil
	}
	return mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
		"other processes may have recorded another software version for the stream", "send the request again if it may run twice")
}

// hasBegunAsListed reports whether the version of the upstream that began a stream in this answer
// is certain.
func (y *Relay) hasBegunAsListed(ctx context.Context, x *exchange) bool {
	return x.begunAt.Name == "" || y.spec.Headers.Software != "" || y.isIncarnation(ctx, x.begunAt, x.begunAtTime)
}

// isVersionCertain reports whether an answer that came at a time, and that states a software
// version where upstreams do so, is from the version of host.
func (y *Relay) isVersionCertain(ctx context.Context, stated string, host Host, at mgclock.Millis) bool {
	if y.spec.Headers.Software != "" {
		return stated == host.SoftwareVersion
	}
	return y.isIncarnation(ctx, host, at)
}
