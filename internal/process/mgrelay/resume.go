package mgrelay

import (
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// cordonGrace is the time for which the relay still continues generations at an
// upstream after it has learnt that the upstream's availability zone is cordoned. A
// generation's copy may have been on its way there when the cordon began, and without
// this time its caller would lose the answer. It is short because a cordon must be in
// force within seconds.
const cordonGrace = 2 * mgclock.Second

// isBarred reports whether generations must not continue at an upstream because its
// availability zone has been cordoned for at least cordonGrace.
func (y *Relay) isBarred(upstream string) bool {
	if y.spec.CordonAge == nil {
		return false
	}
	age, cordoned := y.spec.CordonAge(upstream)
	return cordoned && age >= cordonGrace
}

// addResumeHeaders sets the headers with which an upstream continues a generation
// after the last event that the caller has, from a copy if there is one. It clears
// x.resumeFrom if it names a copy, and sets x.resumed if the caller has events.
func (y *Relay) addResumeHeaders(x *exchange, request *http.Request) {
	names := &y.spec.Headers
	x.copied = x.resumeFrom.copyRef != ""
	if x.resumeFrom.copyRef != "" {
		request.Header.Set(names.Copy, x.resumeFrom.copyRef)
		x.resumeFrom = resumePoint{}
	}
	if x.sequence.lastID != "" {
		request.Header.Set(names.LastEventID, x.sequence.lastID)
		x.resumed = true
	}
}

// prepareResume chooses the next resume point of a generation that broke off, and
// reports whether there is one.
func (y *Relay) prepareResume(x *exchange) bool {
	for len(x.resumePoints) > 0 {
		host := x.resumePoints[0].host
		if !y.isBarred(host.Name) && y.mayContinueAt(x, host) {
			break
		}
		y.spec.Log.Info("a copy is left unused, its upstream is cordoned or runs another software version",
			mglog.Request, x.id, mglog.Upstream, host.Name, "begun", x.origin.Version, "software", host.SoftwareVersion)
		x.resumePoints = x.resumePoints[1:]
	}
	if !x.headerSent || len(x.resumePoints) == 0 {
		return false
	}
	x.resumeFrom = x.resumePoints[0]
	x.resumePoints = x.resumePoints[1:]
	y.spec.Metrics.Counter("relay.carried").Inc(1)
	y.log(x, "a generation continues from a copy at "+x.resumeFrom.host.Name, 0)
	return true
}
