package mgrelay

import (
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// cordonGrace is how long after its availability zone is known to be cordoned an
// upstream still takes a generation whose copy was on its way there: without it the
// caller loses the answer. A cordon must be in force within seconds.
const cordonGrace = 2 * mgclock.Second

// isBarred reports whether no generation may go on at an upstream: its availability zone
// is cordoned, and not only since the copy was made.
func (y *Relay) isBarred(upstream string) bool {
	if y.spec.Cordoned == nil {
		return false
	}
	age, cordoned := y.spec.Cordoned(upstream)
	return cordoned && age >= cordonGrace
}

// addResumeHeaders has a request go on from a copy, after the last event that the caller
// has.
func (y *Relay) addResumeHeaders(x *exchange, request *http.Request) {
	form := &y.spec.Form
	if x.resumeFrom.copyRef != "" {
		request.Header.Set(form.Copy, x.resumeFrom.copyRef)
		x.resumeFrom = resumePoint{}
	}
	if x.sequence.lastID != "" {
		request.Header.Set(form.Event, x.sequence.lastID)
		x.resumed = true
	}
}

// prepareResume reports whether a generation that broke off goes on from a copy.
func (y *Relay) prepareResume(x *exchange) bool {
	for len(x.resumePoints) > 0 && y.isBarred(x.resumePoints[0].host.Name) {
		y.spec.Log.Info("a copy is left unused, its upstream's availability zone is cordoned",
			mglog.Request, x.id, mglog.Upstream, x.resumePoints[0].host.Name)
		x.resumePoints = x.resumePoints[1:]
	}
	if !x.headerSent || len(x.resumePoints) == 0 {
		return false
	}
	x.resumeFrom = x.resumePoints[0]
	x.resumePoints = x.resumePoints[1:]
	y.spec.Metrics.Counter("relay.carried").Inc(1)
	y.log(x, "a generation goes on from a copy at "+x.resumeFrom.host.Name, 0)
	return true
}
