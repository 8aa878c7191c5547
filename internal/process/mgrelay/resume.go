package mgrelay

import (
	"context"
	"net/http"
	"slices"

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
	x.fromBackup = x.resumeFrom.backup != nil
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
func (y *Relay) prepareResume(ctx context.Context, x *exchange) bool {
	y.takeLateMove(ctx, x)
	if !x.headerSent {
		// Only a backup has a generation whose first event isn't known.
		x.resumePoints = slices.DeleteFunc(x.resumePoints, func(p resumePoint) bool { return p.backup == nil })
	}
	for len(x.resumePoints) > 0 {
		host := x.resumePoints[0].host
		if !y.isBarred(host.Name) && y.mayContinueAt(x, host) && y.mayUseBackup(ctx, x, x.resumePoints[0].backup) {
			break
		}
		y.spec.Log.Info("a copy is left unused, its upstream is cordoned or may run another software version",
			mglog.Request, x.id, mglog.Upstream, host.Name, "begun", x.origin.Version, "software", host.SoftwareVersion)
		x.resumePoints = x.resumePoints[1:]
	}
	if len(x.resumePoints) == 0 {
		return false
	}
	x.resumeFrom = x.resumePoints[0]
	x.resumePoints = x.resumePoints[1:]
	y.spec.Metrics.Counter("relay.carried").Inc(1)
	if x.resumeFrom.backup != nil {
		y.useBackup(x)
		return true
	}
	y.log(x, "a generation continues from a copy at "+x.resumeFrom.host.Name, 0)
	return true
}
