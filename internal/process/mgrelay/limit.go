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

// noteLimit takes the rate that an upstream names in an answer, or that it names none.
func (y *Relay) noteLimit(x *exchange, host Host, response *http.Response) {
	if y.spec.Form.Limit == "" || response.StatusCode == http.StatusMisdirectedRequest {
		return // another upstream may have the address
	}
	text := response.Header.Get(y.spec.Form.Limit)
	if text == "" {
		// An answer that came late is of an earlier request.
		if response.Header.Get(y.spec.Form.ID) == x.id && y.spec.Limits.Unnamed(y.spec.Clock.Now(), x.sent, host.Name, host.Born) {
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

// permitted takes leave to send a request to an upstream, and reports whether there is any.
func (y *Relay) permitted(ctx context.Context, x *exchange, host Host) bool {
	if _, limited := y.spec.Limits.Rate(host.Name, host.Born); !limited {
		return true
	}
	wait, ok := y.spec.Permit(ctx, x.permit(host, false))
	if !ok {
		y.spec.Metrics.Counter("relay.limit.denied").Inc(1)
		y.waits.Put(y.spec.Clock.Now(), host.Name, wait)
	}
	return ok
}

// countForced counts a request that goes to a limited upstream in any case.
func (y *Relay) countForced(ctx context.Context, x *exchange, host Host) {
	if _, limited := y.spec.Limits.Rate(host.Name, host.Born); !limited {
		return
	}
	y.spec.Metrics.Counter("relay.limit.forced").Inc(1)
	go y.spec.Permit(context.WithoutCancel(ctx), x.permit(host, true))
}

func (x *exchange) permit(host Host, forced bool) Permit {
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

// permitAlone gives permits where no other process does.
func (y *Relay) permitAlone(_ context.Context, permit Permit) (mgclock.Millis, bool) {
	rate, limited := y.spec.Limits.Rate(permit.Ask.Upstream, permit.Born)
	if !limited {
		return 0, true
	}
	return y.permits.Take(y.spec.Clock.Now(), permit.Ask, mglimit.PartOf(rate, 1, 1))
}

// permitLeft returns the time until there may be a permit for an upstream, 0 where it needs
// none.
func (y *Relay) permitLeft(now mgclock.Millis, host Host) mgclock.Millis {
	left := y.waits.Left(now, host.Name)
	if left == 0 {
		return 0
	}
	if _, limited := y.spec.Limits.Rate(host.Name, host.Born); !limited {
		return 0
	}
	return left
}

// longestReturn bounds the span over which callers are told to come back.
const longestReturn = 5 * mgclock.Second

// spreadReturn returns when a caller should come back to a service whose upstreams are
// limited: those that were turned away lately come back one after another, at the rate
// that the limits allow.
func (y *Relay) spreadReturn(x *exchange, soonest mgclock.Millis) mgclock.Millis {
	supply := 0.0
	for _, host := range y.spec.Every(x.service) {
		if rate, limited := y.spec.Limits.Rate(host.Name, host.Born); limited {
			supply += mglimit.PartOf(rate, 1, 1).Rate()
		}
	}
	if supply == 0 {
		return soonest
	}
	rejected := y.rejections.count(y.spec.Clock.Now(), x.service)
	if y.spec.Processes != nil {
		rejected *= float64(y.spec.Processes())
	}
	span := min(rejected/supply*float64(mgclock.Second), float64(longestReturn))
	return soonest + mgclock.Millis(rand.Float64()*span)
}

// rejections counts the requests that were turned away lately, by service. The zero
// rejections has counted none.
type rejections struct {
	mu  sync.Mutex
	all map[string]*recent
}

// recent is a count that decays within a second or so.
type recent struct {
	count float64
	at    mgclock.Millis
}

// count counts one more and returns how many there were within a second.
func (t *rejections) count(now mgclock.Millis, service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.all = map[string]*recent{}
	}
	r := t.all[service]
	if r == nil {
		r = &recent{}
		t.all[service] = r
	}
	r.count = r.count*max(0, 1-float64(now-r.at)/float64(mgclock.Second)) + 1
	r.at = now
	return r.count
}
