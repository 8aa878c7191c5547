package mgrelay

import (
	"net/http"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// recordRetryAfter starts a backoff if an upstream answers 503 with Retry-After.
func (y *Relay) recordRetryAfter(x *exchange, host Host, response *http.Response) {
	delay := retryAfter(response)
	if delay <= 0 {
		return
	}
	y.spec.Metrics.Counter("relay.rests").Inc(1)
	y.spec.Log.Info("an upstream sent Retry-After", mglog.Request, x.id, mglog.Upstream, host.Name,
		"ms", int64(delay))
	y.backoffs.Begin(y.spec.Clock.Now(), host.Name, delay)
}

// retryAfter returns the time after which an unavailable upstream may be sent
// requests again, 0 if it gives none. Upstreams send seconds, also with fractions,
// whereas the standard allows whole seconds and dates (RFC 9110, 10.2.3).
func retryAfter(response *http.Response) mgclock.Millis {
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds != seconds {
		return 0
	}
	return mgclock.Millis(min(max(seconds, 0), maxRetryAfterSeconds) * float64(mgclock.Second))
}

// maxRetryAfterSeconds bounds the value of an upstream's Retry-After.
const maxRetryAfterSeconds = 1e6

// beginAttempt reports whether an upstream may be sent a request now, and if so
// registers the attempt with the backoffs until endAttempt. After the time of a
// Retry-After they bound how many attempts of this process are in flight at the
// upstream, at first to one (see mgrest).
func (y *Relay) beginAttempt(x *exchange, host Host) bool {
	release, ok := y.backoffs.Acquire(y.spec.Clock.Now(), host.Name)
	if ok {
		x.releaseAttempt = release
	}
	return ok
}

// endAttempt unregisters an attempt that beginAttempt registered.
func (x *exchange) endAttempt(answered bool) {
	if x.releaseAttempt != nil {
		x.releaseAttempt(answered)
		x.releaseAttempt = nil
	}
}

// backoffLeft considers the upstreams at which a request may run. If all of them are
// in a backoff, it returns the time until the first backoff ends, otherwise 0 and
// false.
func (y *Relay) backoffLeft(x *exchange) (shortest mgclock.Millis, allDelayed bool) {
	return y.shortestDelay(x, func(now mgclock.Millis, host Host) mgclock.Millis { return y.backoffs.Remaining(now, host.Name) })
}

// unavailableFor is like backoffLeft, but also counts an upstream as unavailable
// while no permit can be had for it.
func (y *Relay) unavailableFor(x *exchange) (shortest mgclock.Millis, allDelayed bool) {
	return y.shortestDelay(x, func(now mgclock.Millis, host Host) mgclock.Millis {
		return max(y.backoffs.Remaining(now, host.Name), y.permitDelay(now, host))
	})
}

// shortestDelay returns the shortest delay of the upstreams at which a request may
// run. It returns 0 and false if one of them has no delay, or if there are none.
func (y *Relay) shortestDelay(x *exchange, delayAt func(now mgclock.Millis, host Host) mgclock.Millis) (shortest mgclock.Millis, allDelayed bool) {
	now := y.spec.Clock.Now()
	for _, host := range y.upstreamsFor(x.service, x.origin) {
		if !x.homes.allows(host.Region) {
			continue
		}
		delay := delayAt(now, host)
		if delay == 0 {
			return 0, false
		}
		if !allDelayed || delay < shortest {
			shortest = delay
		}
		allDelayed = true
	}
	return shortest, allDelayed
}
