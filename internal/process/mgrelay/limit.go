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

// recordLimit takes the rate that an upstream names in an answer, or that it names none.
func (y *Relay) recordLimit(x *exchange, host Host, response *http.Response) {
	if y.spec.Form.Limit == "" || response.StatusCode == http.StatusMisdirectedRequest {
		return // another upstream may have the address
	}
	text := response.Header.Get(y.spec.Form.Limit)
	if text == "" {
		// An answer that came late is of an earlier request.
		if response.Header.Get(y.spec.Form.ID) == x.id && y.spec.Limits.Unnamed(y.spec.Clock.Now(), x.sentAt, host.Name, host.Born) {
			y.spec.Log.Info("an upstream names no limit any more", mglog.Request, x.id, mglog.Upstream, host.Name)
		}
		return
	}
	rate, err := mglimit.Parse(text)
	if err != nil {
		y.spec.Metrics.Counter("relay.limit.unreadable").Inc(1)
		y.spec.Log.Info("an upstream's limit can't be read, what was known of it stays", mglog.Request, x.id,
			mglog.Upstream, host.Name, "why", err.Error())
		return
	}
	y.spec.Metrics.Counter("relay.limit.named").Inc(1)
	if y.spec.Limits.Named(y.spec.Clock.Now(), host.Name, host.Born, rate) {
		y.spec.Log.Info("an upstream names a limit", mglog.Request, x.id, mglog.Upstream, host.Name, "rate", rate)
	}
}

// takePermit takes leave to send a request to an upstream, and reports whether there is any.
func (y *Relay) takePermit(ctx context.Context, x *exchange, host Host) bool {
	if _, limited := y.spec.Limits.Rate(host.Name, host.Born); !limited {
		return true
	}
	wait, ok := y.spec.Permit(ctx, x.permitRequest(host, false))
	if !ok {
		y.spec.Metrics.Counter("relay.limit.denied").Inc(1)
		y.permitWaits.Put(y.spec.Clock.Now(), host.Name, wait)
	}
	return ok
}

// takeForcedPermit counts a request that goes to a limited upstream in any case.
func (y *Relay) takeForcedPermit(ctx context.Context, x *exchange, host Host) {
	if _, limited := y.spec.Limits.Rate(host.Name, host.Born); !limited {
		return
	}
	y.spec.Metrics.Counter("relay.limit.forced").Inc(1)
	go y.spec.Permit(context.WithoutCancel(ctx), x.permitRequest(host, true))
}

func (x *exchange) permitRequest(host Host, forced bool) Permit {
	return Permit{
		Ask: mglimit.Ask{
			Upstream: host.Name,
			Request:  x.id,
			Forced:   forced,
		},
		Born:   host.Born,
		Givers: host.Givers,
	}
}

// A Permit asks for leave to send one request to an upstream that has named a limit.
type Permit struct {
	Ask    mglimit.Ask
	Born   int64 // of the upstream's life
	Givers int   // see Host
}

// takeLocalPermit gives permits where no other process does.
func (y *Relay) takeLocalPermit(_ context.Context, permit Permit) (mgclock.Millis, bool) {
	rate, limited := y.spec.Limits.Rate(permit.Ask.Upstream, permit.Born)
	if !limited {
		return 0, true
	}
	return y.localPermits.Take(y.spec.Clock.Now(), permit.Ask, mglimit.PartOf(rate, 1, 1))
}

// permitDelay returns the time until there may be a permit for an upstream, 0 where it needs
// none.
func (y *Relay) permitDelay(now mgclock.Millis, host Host) mgclock.Millis {
	left := y.permitWaits.Left(now, host.Name)
	if left == 0 {
		return 0
	}
	if _, limited := y.spec.Limits.Rate(host.Name, host.Born); !limited {
		return 0
	}
	return left
}

// maxRetrySpread bounds the span over which callers are told to come back.
const maxRetrySpread = 5 * mgclock.Second

// spreadRetryDelay returns when a caller should come back to a service whose upstreams are
// limited: those that were turned away lately come back one after another, at the rate
// that the limits allow.
func (y *Relay) spreadRetryDelay(x *exchange, shortest mgclock.Millis) mgclock.Millis {
	totalRate := 0.0
	for _, host := range y.spec.Every(x.service) {
		if rate, limited := y.spec.Limits.Rate(host.Name, host.Born); limited {
			totalRate += mglimit.PartOf(rate, 1, 1).Rate()
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

// rejections counts the requests that were turned away lately, by service. The zero
// rejections has counted none.
type rejections struct {
	mu        sync.Mutex
	byService map[string]*decayingCount
}

// decayingCount is a count that decays within a second or so.
type decayingCount struct {
	count     float64
	updatedAt mgclock.Millis
}

// add counts one more and returns how many there were within a second.
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
