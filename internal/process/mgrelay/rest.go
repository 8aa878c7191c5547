package mgrelay

import (
	"net/http"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// noteRest takes the time for which an upstream that turned a request away wants none
// from this process.
func (y *Relay) noteRest(x *exchange, host Host, response *http.Response) {
	span := retryAfter(response)
	if span <= 0 {
		return
	}
	y.spec.Metrics.Counter("relay.rests").Inc(1)
	y.spec.Log.Info("an upstream wants no requests for a while", mglog.Request, x.id, mglog.Upstream, host.Name,
		"ms", int64(span))
	y.rests.Ask(y.spec.Clock.Now(), host.Name, span)
}

// retryAfter returns the time after which an upstream that is unavailable may be asked
// again, 0 where it tells none. Upstreams tell seconds, also fractions of them, where the
// standard knows whole ones and dates (RFC 9110, 10.2.3).
func retryAfter(response *http.Response) mgclock.Millis {
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds != seconds {
		return 0
	}
	return mgclock.Millis(min(max(seconds, 0), maxRetryAfter) * float64(mgclock.Second))
}

// maxRetryAfter bounds what is read of an upstream's Retry-After, in seconds.
const maxRetryAfter = 1e6

// takes reports whether an upstream may be sent a request now, and counts it in.
func (y *Relay) takes(x *exchange, host Host) bool {
	ended, ok := y.rests.Take(y.spec.Clock.Now(), host.Name)
	if ok {
		x.ended = ended
	}
	return ok
}

// endAttempt counts an attempt out that was counted in by takes.
func (x *exchange) endAttempt(answered bool) {
	if x.ended != nil {
		x.ended(answered)
		x.ended = nil
	}
}

// restLeft returns the time until the first of the upstreams that a request may run at
// takes requests again, or false where one does now.
func (y *Relay) restLeft(x *exchange) (soonest mgclock.Millis, all bool) {
	return y.soonest(x, func(now mgclock.Millis, host Host) mgclock.Millis { return y.rests.Left(now, host.Name) })
}

// awayLeft is restLeft for upstreams that rest or have no permit left.
func (y *Relay) awayLeft(x *exchange) (soonest mgclock.Millis, all bool) {
	return y.soonest(x, func(now mgclock.Millis, host Host) mgclock.Millis {
		return max(y.rests.Left(now, host.Name), y.permitLeft(now, host))
	})
}

// soonest returns the least time that is left of the upstreams that a request may run at, or
// false where one has none left.
func (y *Relay) soonest(x *exchange, leftAt func(now mgclock.Millis, host Host) mgclock.Millis) (soonest mgclock.Millis, all bool) {
	now := y.spec.Clock.Now()
	for _, host := range y.spec.Every(x.service) {
		if !x.homes.allow(host.Region) {
			continue
		}
		left := leftAt(now, host)
		if left == 0 {
			return 0, false
		}
		if !all || left < soonest {
			soonest = left
		}
		all = true
	}
	return soonest, all
}
