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

// crashCheckTimeout is how long a retry waits for the check whether the previous
// upstream has ended. An address without a listener answers in one round trip.
const crashCheckTimeout = 50 * mgclock.Millis(1)

// errQuarantined is the cause for which the attempts of a request are cancelled when
// it becomes held, that is when the quarantine begins to refuse it.
var errQuarantined = errors.New("mgrelay: the request crashes upstreams: send another")

// partialAnswer is what an attempt had received when its upstream broke it off.
type partialAnswer struct {
	headerReceived bool
	eventCount     int64          // of a stream
	firstEventAt   mgclock.Millis // 0 before the first event
	lastEventAt    mgclock.Millis // 0 before the first event
}

// ran returns how long the attempt had run since its first event.
func (r partialAnswer) ran(now mgclock.Millis) mgclock.Millis {
	if r.eventCount == 0 {
		return 0
	}
	return now - r.firstEventAt
}

// digest identifies the content of the request.
func (x *exchange) digest() mgquarantine.Digest {
	x.digestOnce.Do(func() {
		x.digestValue = mgquarantine.DigestOf(x.accountName(), x.hostHeader, x.target, x.body)
	})
	return x.digestValue
}

// setParts computes the digests of the parts that the request's prompt may share with others, at
// its service and model.
func (x *exchange) setParts(names *HeaderNames) {
	for _, part := range names.partsOf(x.header) {
		x.parts = append(x.parts, mgquarantine.PartDigestOf(x.service, x.header.Get(names.Model), part))
	}
}

// recordBrokenAttempt records an attempt that its upstream broke off. It returns
// when it is known whether the upstream has ended, or after crashCheckTimeout.
func (y *Relay) recordBrokenAttempt(x *exchange, host Host, partial partialAnswer) {
	y.spec.Metrics.Counter("relay.broken").Inc(1)
	x.attemptBroken = true
	now := y.spec.Clock.Now()
	leaving := y.spec.IsLeaving != nil && y.spec.IsLeaving(host.Name)
	keys := append(y.dataVersionKeys(),
		mglog.Request, x.id, mglog.Route, x.call.Route.Name(), mglog.Service, x.service,
		mglog.Upstream, host.Name, "digest", x.digest().String(), "parts", y.spec.Headers.partsOf(x.header), "attempts", x.attempts,
		"begun", partial.headerReceived, "events", partial.eventCount, "ran", int64(partial.ran(now)), "ms", int64(now-x.sentAt), "leaving", leaving)
	if x.call.Account != nil {
		keys = append(keys, mglog.Account, x.call.Account.Name())
	}
	crash := y.crashOf(x, host, partial, now)
	lastHeard := max(x.sentAt, partial.lastEventAt)
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		ended, err := y.hasIncarnationEnded(context.Background(), host)
		if err != nil {
			keys = append(keys, "why", err.Error())
		}
		evidence := ended && !leaving
		y.spec.Log.Info("an upstream broke off an attempt", append(keys, "ended", ended, "evidence", evidence)...)
		switch {
		case evidence:
			// Delay is how long before now, when the attempt broke off here, the
			// upstream may have ended: the news may have been delayed on the network
			// for as long as the check for the refused connection took.
			crash.Delay = y.spec.Clock.Now() - now
			y.recordCrash(now, crash)
		case err != nil && (!leaving || y.isDropped(host)):
			go y.recordUnansweredEnd(host, crash, lastHeard)
		}
	}()
	select {
	case <-checked:
	case <-y.spec.Clock.After(crashCheckTimeout):
	}
}

// crashOf returns an attempt as evidence, if its upstream has ended.
func (y *Relay) crashOf(x *exchange, host Host, partial partialAnswer, endedAt mgclock.Millis) mgquarantine.Crash {
	return mgquarantine.Crash{
		Digest:   x.digest(),
		Parts:    x.parts,
		Request:  x.id,
		Upstream: host.Name,
		// Only a stream shows whether the upstream had begun to work on the request. Any
		// other answer begins only when it is complete, so Begun is assumed.
		Begun:      partial.headerReceived || x.call.Route.Kind() != mgtable.Stream,
		Sent:       x.sentAt,
		Ran:        partial.ran(endedAt),
		NextNumber: x.nextCrashNumber,
	}
}

// recordCrash records an attempt whose upstream has ended.
func (y *Relay) recordCrash(seen mgclock.Millis, crash mgquarantine.Crash) {
	y.spec.Metrics.Counter("relay.crashed").Inc(1)
	y.spec.Quarantine.RecordCrash(seen, crash)
}

// errCrashCheckTimeout means that it wasn't known in time whether an upstream has ended.
var errCrashCheckTimeout = errors.New("mgrelay: the upstream's address doesn't answer: its VM may be down or cut off")

// errNoCrashCheck means that there is no means to check whether upstreams have
// ended.
var errNoCrashCheck = errors.New("mgrelay: can't check whether the upstream has ended: set Spec.RefusesConnections")

// hasEnded reports whether an upstream has ended. An error means that this is
// unknown.
func (y *Relay) hasEnded(host Host) (bool, error) {
	if y.spec.RefusesConnections == nil {
		return false, errNoCrashCheck
	}
	return y.spec.RefusesConnections(context.Background(), host.Addr)
}

// quarantineProblem returns the problem to answer with if a request is held, that is
// refused by the quarantine, or nil. Until the quarantine has admitted the request,
// each call asks for admission and sets x.admitted; later calls only ask whether the
// request is held.
func (y *Relay) quarantineProblem(x *exchange) *mgproblem.Problem {
	if !y.spec.Quarantine.HasSuspects() {
		x.admitted = true
		return nil
	}
	var left mgclock.Millis
	held := false
	if x.admitted {
		left, held = y.spec.Quarantine.Held(y.spec.Clock.Now(), x.digest(), x.parts...)
	} else {
		left, x.admitted = y.spec.Quarantine.Admit(y.spec.Clock.Now(), x.digest(), x.parts...)
		held = !x.admitted
	}
	if !held {
		return nil
	}
	y.spec.Metrics.Counter("relay.held").Inc(1)
	return mgquarantine.Problem(left, x.mayHaveRun)
}

// mayCrashAnother reports whether a request under which an upstream has ended should not go on at
// another one, as a retry, from its last event or from a copy.
func (y *Relay) mayCrashAnother(x *exchange) bool {
	if !x.attemptBroken || !y.spec.Quarantine.HasSuspects() {
		return false
	}
	if x.backup != nil && x.brokeOff {
		return !y.spec.Quarantine.Continuable(x.ranAtEnd, x.digest(), x.parts...)
	}
	return !y.spec.Quarantine.Retryable(x.digest(), x.parts...)
}

// recordQuarantineAnswer reports to the quarantine that an upstream answered a request with a status.
// A failure, or an answer that may have broken off, doesn't show that the upstream survives the
// request, and a rejection doesn't show that it survives the parts of the prompt.
func (y *Relay) recordQuarantineAnswer(x *exchange, status int) {
	if status >= http.StatusInternalServerError || x.endUnknown {
		return
	}
	parts := x.parts
	if status >= http.StatusBadRequest {
		parts = nil
	}
	y.spec.Quarantine.RecordAnswer(y.spec.Clock.Now(), x.digest(), parts...)
}

// recordProgress reports a stream that runs to the quarantine, once each StartWindow: its upstream
// has begun it and lives on.
func (y *Relay) recordProgress(x *exchange, gen *generation, now mgclock.Millis) {
	firstEventAt := mgclock.Millis(gen.firstEventAt.Load())
	if now < max(firstEventAt, x.progressAt)+mgquarantine.StartWindow {
		return
	}
	x.progressAt = now
	run := mgquarantine.Run{
		Parts:   x.parts,
		Request: x.id,
		Sent:    x.sentAt,
		Ran:     now - firstEventAt,
	}
	if y.spec.Quarantine.HasSuspects() {
		run.Digest = x.digest()
	}
	y.spec.Quarantine.RecordProgress(now, run)
}

// exchanges are the requests in progress. The zero value is empty.
type exchanges struct {
	mu      sync.Mutex
	cancels map[*exchange]context.CancelCauseFunc
}

func (s *exchanges) add(x *exchange, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancels == nil {
		s.cancels = map[*exchange]context.CancelCauseFunc{}
	}
	s.cancels[x] = cancel
}

func (s *exchanges) remove(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, x)
}

// cancelHeld cancels the requests that have become held and wait, here or at an upstream, and those
// whose generation is about to end its upstream.
func (y *Relay) cancelHeld() {
	if !y.spec.Quarantine.HasSuspects() {
		return
	}
	now := y.spec.Clock.Now()
	y.exchanges.mu.Lock()
	defer y.exchanges.mu.Unlock()
	for x, cancel := range y.exchanges.cancels {
		_, held := y.spec.Quarantine.Held(now, x.digest(), x.parts...)
		switch {
		case !held:
		case !x.streaming.Load():
			cancel(errQuarantined)
		case y.spec.Quarantine.EndsUpstreams(now, x.ran(now), x.digest(), x.parts...):
			y.spec.Metrics.Counter("relay.stopped").Inc(1)
			cancel(errQuarantined)
		}
	}
}

// watchHeld cancels requests when they become held, until ctx is done.
func (y *Relay) watchHeld(ctx context.Context) {
	for {
		changed := y.spec.Quarantine.Changed()
		y.cancelHeld()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// endIfHeld ends a request that is held, and reports whether it did. A generation
// that continues from a copy is not ended: it started before the request was held.
func (y *Relay) endIfHeld(w http.ResponseWriter, x *exchange) bool {
	problem := y.quarantineProblem(x)
	switch {
	case problem == nil || x.headerSent && x.resumeFrom.copyRef != "":
		return false
	case x.headerSent:
		y.abort(x, problem)
	default:
		y.answerProblem(w, x, problem)
	}
	return true
}
