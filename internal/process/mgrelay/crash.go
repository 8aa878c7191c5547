package mgrelay

import (
	"context"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// remains is what an attempt had brought when its upstream broke it off.
type remains struct {
	begun  bool           // the answer's header had come
	events int64          // of a stream
	first  mgclock.Millis // when the first of them came
}

// digest names what the caller asked for.
func (x *exchange) digest() mgquarantine.Digest {
	account := ""
	if x.call.Account != nil {
		account = x.call.Account.Name()
	}
	return mgquarantine.DigestOf(account, x.host, x.target, x.body)
}

// brokeOff notes an attempt that its upstream broke off, and finds out whether the
// upstream has ended.
func (y *Relay) brokeOff(x *exchange, host Host, left remains) {
	y.spec.Metrics.Counter("relay.broken").Inc(1)
	now := y.spec.Clock.Now()
	keys := append(y.basis(),
		mglog.Request, x.id, mglog.Route, x.call.Route.Name(), mglog.Service, x.service,
		mglog.Upstream, host.Name, "digest", x.digest().String(), "attempts", x.attempts,
		"begun", left.begun, "events", left.events, "ms", int64(now-x.sent))
	if left.events > 0 {
		keys = append(keys, "running", int64(now-left.first))
	}
	if y.spec.Leaving != nil {
		keys = append(keys, "leaving", y.spec.Leaving(host.Name))
	}
	go func() {
		y.spec.Log.Info("an upstream broke an attempt off", append(keys, "ended", y.ended(host))...)
	}()
}

// ended tells whether an upstream has ended, for logs.
func (y *Relay) ended(host Host) string {
	if y.spec.Refuses == nil {
		return "unknown"
	}
	refuses, err := y.spec.Refuses(context.Background(), host.Addr)
	if err != nil {
		return "unknown"
	}
	return strconv.FormatBool(refuses)
}
