package mgrelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglimit"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// recordLimit records the rate limit that an upstream announces in an answer, or
// that it announces none.
func (y *Relay) recordLimit(x *exchange, host Host, response *http.Response) {
	if y.spec.Headers.RateLimit == "" || response.StatusCode == http.StatusMisdirectedRequest {
		return // another upstream may have the address
	}
	text := response.Header.Get(y.spec.Headers.RateLimit)
	if text == "" {
		// A late answer belongs to an earlier request.
		if response.Header.Get(y.spec.Headers.ID) == x.id && y.spec.Limits.RecordNoRate(y.spec.Clock.Now(), x.sentAt, host.Name, host.IncarnationStart) {
			y.spec.Log.Info("an upstream no longer announces a limit", mglog.Request, x.id, mglog.Upstream, host.Name)
		}
		return
	}
	rate, err := mglimit.Parse(text)
	if err != nil {
		y.spec.Metrics.Counter("relay.limit.unreadable").Inc(1)
		y.spec.Log.Info("an upstream's limit can't be parsed, the previous one is kept", mglog.Request, x.id,
			mglog.Upstream, host.Name, "why", err.Error())
		return
	}
	y.spec.Metrics.Counter("relay.limit.named").Inc(1)
	if y.spec.Limits.RecordRate(y.spec.Clock.Now(), host.Name, host.IncarnationStart, rate) {
		y.spec.Log.Info("an upstream announces a limit", mglog.Request, x.id, mglog.Upstream, host.Name, "rate", rate)
	}
}

// takePermit takes a permit to send a request to an upstream, and reports whether it
// got one.
func (y *Relay) takePermit(ctx context.Context, x *exchange, host Host) bool {
	if _, limited := y.spec.Limits.Rate(host.Name, host.IncarnationStart); !limited {
		return true
	}
	wait, ok := y.spec.TakePermit(ctx, x.permitRequest(host, false))
	if !ok {
		y.spec.Metrics.Counter("relay.limit.denied").Inc(1)
		y.permitWaits.Set(y.spec.Clock.Now(), host.Name, wait)
	}
	return ok
}

// takeForcedPermit reports a request that is sent to a rate-limited upstream even if
// there is no permit, so that it counts against the limit.
func (y *Relay) takeForcedPermit(ctx context.Context, x *exchange, host Host) {
	if _, limited := y.spec.Limits.Rate(host.Name, host.IncarnationStart); !limited {
		return
	}
	y.spec.Metrics.Counter("relay.limit.forced").Inc(1)
	y.spec.TakePermit(context.WithoutCancel(ctx), x.permitRequest(host, true))
}

func (x *exchange) permitRequest(host Host, forced bool) PermitRequest {
	return PermitRequest{
		Ask: mglimit.PermitRequest{
			Upstream: host.Name,
			Request:  x.id,
			Forced:   forced,
		},
		IncarnationStart: host.IncarnationStart,
		Granters:         host.Granters,
	}
}

// PermitRequest asks for a permit to send one request to an upstream that has
// announced a rate limit. Ask is what the process that gives the permits is asked: it
// names the upstream and the request. The other fields say which limit applies and how
// many processes share it.
type PermitRequest struct {
	Ask              mglimit.PermitRequest
	IncarnationStart int64 // the upstream's incarnation
	Granters         int   // see Host
}

// takeLocalPermit is the default of Spec.TakePermit. It gives permits for this process
// alone.
func (y *Relay) takeLocalPermit(_ context.Context, permit PermitRequest) (mgclock.Millis, bool) {
	rate, limited := y.spec.Limits.Rate(permit.Ask.Upstream, permit.IncarnationStart)
	if !limited {
		return 0, true
	}
	return y.localPermits.Take(y.spec.Clock.Now(), permit.Ask, mglimit.ShareOf(rate, 1, 1))
}

// permitDelay returns the time until there may be a permit for an upstream, 0 if it
// needs none.
func (y *Relay) permitDelay(now mgclock.Millis, host Host) mgclock.Millis {
	left := y.permitWaits.Left(now, host.Name)
	if left == 0 {
		return 0
	}
	if _, limited := y.spec.Limits.Rate(host.Name, host.IncarnationStart); !limited {
		return 0
	}
	return left
}

// maxRetrySpread bounds the window over which the retries of callers are spread.
const maxRetrySpread = 5 * mgclock.Second

// spreadRetryDelay returns the Retry-After for a service whose upstreams are
// rate-limited. It spreads the recently rejected callers, so that they retry at the
// rate that the limits allow.
func (y *Relay) spreadRetryDelay(x *exchange, shortest mgclock.Millis) mgclock.Millis {
	totalRate := 0.0
	for _, host := range y.spec.Upstreams(x.service) {
		if rate, limited := y.spec.Limits.Rate(host.Name, host.IncarnationStart); limited {
			totalRate += mglimit.ShareOf(rate, 1, 1).Rate()
		}
	}
	if totalRate == 0 {
		return shortest
	}
	rejected := y.rejections.add(y.spec.Clock.Now(), x.service)
	if y.spec.Processes != nil {
		rejected *= float64(y.spec.Processes())
	}
	spread := min(rejected/totalRate*float64(mgclock.Second), float64(maxRetrySpread))
	return shortest + mgclock.Millis(rand.Float64()*spread)
}

// rejections counts the recently rejected requests by service. The zero value is
// empty.
type rejections struct {
	mu        sync.Mutex
	byService map[string]*decayingCount
}

// decayingCount is a count that decays to zero within about one second.
type decayingCount struct {
	count     float64
	updatedAt mgclock.Millis
}

// add counts one rejection and returns the decayed count of about the last second.
func (t *rejections) add(now mgclock.Millis, service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byService == nil {
		t.byService = map[string]*decayingCount{}
	}
	r := t.byService[service]
	if r == nil {
		r = &decayingCount{}
		t.byService[service] = r
	}
	r.count = r.count*max(0, 1-float64(now-r.updatedAt)/float64(mgclock.Second)) + 1
	r.updatedAt = now
	return r.count
}
