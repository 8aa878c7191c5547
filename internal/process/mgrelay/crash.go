package mgrelay

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const (
	// startSpan is how long after its first event a generation has just begun: what
	// crashes an engine as it begins may have made some tokens by then.
	startSpan = 300 * mgclock.Millis(1)
	// refusalWait is how long a retry waits for the word whether the upstream before
	// has ended. An address without a listener answers in one round trip.
	refusalWait = 50 * mgclock.Millis(1)
)

// errHeld is the cause with which the attempt of a request ends that is held from then on.
var errHeld = errors.New("mgrelay: the request crashes upstreams: send another")

// remains is what an attempt had brought when its upstream broke it off.
type remains struct {
	begun  bool           // the answer's header had come
	events int64          // of a stream
	first  mgclock.Millis // when the first of them came
}

// starting reports whether the attempt was about to begin or had just begun.
func (r remains) starting(now mgclock.Millis) bool {
	return r.events == 0 || now < r.first+startSpan
}

// digest names what the caller asked for.
func (x *exchange) digest() mgquarantine.Digest {
	x.digested.Do(func() {
		account := ""
		if x.call.Account != nil {
			account = x.call.Account.Name()
		}
		x.sum = mgquarantine.DigestOf(account, x.host, x.target, x.body)
	})
	return x.sum
}

// brokeOff notes an attempt that its upstream broke off. It returns once it is known
// whether the upstream has ended, or soon.
func (y *Relay) brokeOff(x *exchange, host Host, left remains) {
	y.spec.Metrics.Counter("relay.broken").Inc(1)
	x.broken = true
	now := y.spec.Clock.Now()
	leaving := y.spec.Leaving != nil && y.spec.Leaving(host.Name)
	keys := append(y.basis(),
		mglog.Request, x.id, mglog.Route, x.call.Route.Name(), mglog.Service, x.service,
		mglog.Upstream, host.Name, "digest", x.digest().String(), "attempts", x.attempts,
		"begun", left.begun, "events", left.events, "ms", int64(now-x.sent), "leaving", leaving)
	if x.call.Account != nil {
		keys = append(keys, mglog.Account, x.call.Account.Name())
	}
	// An answer that is no stream begins only once it is whole.
	crash := mgquarantine.Crash{
		Digest:   x.digest(),
		Request:  x.id,
		Upstream: host.Name,
		Begun:    left.begun || x.call.Route.Kind() != mgtable.Stream,
		Sent:     x.sent,
	}
	known := make(chan struct{})
	go func() {
		defer close(known)
		ended, err := y.ended(host)
		if err != nil {
			keys = append(keys, "why", err.Error())
		}
		evidence := ended && !leaving && left.starting(now)
		y.spec.Log.Info("an upstream broke an attempt off", append(keys, "ended", ended, "evidence", evidence)...)
		if evidence {
			y.spec.Metrics.Counter("relay.crashed").Inc(1)
			// The refusal took its way, as the word of the end did before it.
			crash.Delay = y.spec.Clock.Now() - now
			y.spec.Quarantine.Crashed(now, crash)
		}
	}()
	select {
	case <-known:
	case <-y.spec.Clock.After(refusalWait):
	}
}

// errNoWord says that nothing tells whether upstreams have ended.
var errNoWord = errors.New("mgrelay: whether the upstream has ended can't be asked: set Refuses")

// ended reports whether an upstream has ended. An error says that it isn't known.
func (y *Relay) ended(host Host) (bool, error) {
	if y.spec.Refuses == nil {
		return false, errNoWord
	}
	return y.spec.Refuses(context.Background(), host.Addr)
}

// held returns what to tell the caller of a request that is held, or nil.
func (y *Relay) held(x *exchange) *mgproblem.Problem {
	if !y.spec.Quarantine.Watching() {
		x.admitted = true
		return nil
	}
	var left mgclock.Millis
	held := false
	if x.admitted {
		left, held = y.spec.Quarantine.Held(y.spec.Clock.Now(), x.digest())
	} else {
		left, x.admitted = y.spec.Quarantine.Admit(y.spec.Clock.Now(), x.digest())
		held = !x.admitted
	}
	if !held {
		return nil
	}
	y.spec.Metrics.Counter("relay.held").Inc(1)
	return mgquarantine.Problem(left, x.ran)
}

// dangerous reports whether a request under which an upstream has just ended should not
// be tried on another one.
func (y *Relay) dangerous(x *exchange) bool {
	return y.spec.Quarantine.Watching() && !y.spec.Quarantine.Retryable(x.digest())
}

// answered takes that an upstream answered a request.
func (y *Relay) answered(x *exchange) {
	if y.spec.Quarantine.Watching() {
		y.spec.Quarantine.Answered(y.spec.Clock.Now(), x.digest())
	}
}

// exchanges are the requests that are in progress. The zero exchanges is empty.
type exchanges struct {
	mu  sync.Mutex
	all map[*exchange]context.CancelCauseFunc
}

func (s *exchanges) add(x *exchange, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*exchange]context.CancelCauseFunc{}
	}
	s.all[x] = cancel
}

func (s *exchanges) remove(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, x)
}

// dropHeld ends the requests that wait, here or at an upstream, and are held since.
func (y *Relay) dropHeld() {
	if !y.spec.Quarantine.Watching() {
		return
	}
	now := y.spec.Clock.Now()
	y.exchanges.mu.Lock()
	defer y.exchanges.mu.Unlock()
	for x, cancel := range y.exchanges.all {
		if _, held := y.spec.Quarantine.Held(now, x.digest()); held && !x.running.Load() {
			cancel(errHeld)
		}
	}
}

// watchHeld drops requests as they come to be held, until ctx ends.
func (y *Relay) watchHeld(ctx context.Context) {
	for {
		changed := y.spec.Quarantine.Changed()
		y.dropHeld()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// endHeld ends a request that is held, and reports whether it is. A generation that goes
// on from a copy has begun before, and runs.
func (y *Relay) endHeld(w http.ResponseWriter, x *exchange) bool {
	problem := y.held(x)
	switch {
	case problem == nil || x.begun && x.from.copy != "":
		return false
	case x.begun:
		y.abort(x, problem)
	default:
		y.refuse(w, x, problem)
	}
	return true
}
