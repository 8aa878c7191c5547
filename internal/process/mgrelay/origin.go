package mgrelay

import (
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
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
