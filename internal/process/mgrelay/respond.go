package mgrelay

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// giveUp answers a request for which no further upstream is tried.
func (y *Relay) giveUp(w http.ResponseWriter, x *exchange) {
	if y.endIfHeld(w, x) {
		return
	}
	switch {
	case x.headerSent:
		y.abort(x, x.cause())
	case x.failure != nil:
		y.passOn(w, x, x.failure)
	case x.mayHaveRun:
		y.answerProblem(w, x, mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
			"no upstream brought an answer", "send the request again if it may run twice").WithCause(x.cause()))
	case x.refusal != nil:
		y.passOn(w, x, x.refusal)
	case x.problem != nil && x.problem.RetryAfter() > 0:
		y.answerProblem(w, x, x.problem)
	default:
		y.answerProblem(w, x, y.noCapacityProblem(x).WithCause(x.cause()))
	}
}

// expire answers a request that timed out, was cancelled as held, or whose caller
// has disconnected.
func (y *Relay) expire(ctx context.Context, w http.ResponseWriter, x *exchange) {
	switch {
	case errors.Is(context.Cause(ctx), errQuarantined):
		y.giveUp(w, x)
	case errors.Is(ctx.Err(), context.Canceled):
		y.spec.Metrics.Counter("relay.left").Inc(1)
		y.log(x, "the caller disconnected", 0)
		panic(http.ErrAbortHandler)
	case x.headerSent:
		y.abort(x, x.cause())
	case x.mayHaveRun:
		y.answerProblem(w, x, mgproblem.New(mgproblem.DeadlineExceeded, mgproblem.Unknown,
			"the time for the request is over", "ask for more time").WithCause(x.cause()))
	default:
		y.answerProblem(w, x, y.noCapacityProblem(x).WithCause(x.cause()))
	}
}

// passOn forwards an upstream's own refusal or failure. It sets Retry-After on every
// 503, also in place of the upstream's, and on other statuses that imply "not run" if
// the upstream gives none.
func (y *Relay) passOn(w http.ResponseWriter, x *exchange, upstreamAnswer *answer) {
	copyHeader(w.Header(), upstreamAnswer.header)
	if upstreamAnswer.status == http.StatusServiceUnavailable || impliesNotRun(upstreamAnswer.status) && w.Header().Get("Retry-After") == "" {
		// The upstream's own Retry-After applies to this process and that upstream
		// only.
		y.setRetryAfter(w, y.noCapacityProblem(x).RetryAfter())
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(upstreamAnswer.body)))
	x.beginBody(w.Header(), upstreamAnswer.endsWithConn)
	w.WriteHeader(upstreamAnswer.status)
	_, _ = w.Write(upstreamAnswer.body) // a caller that disconnected needs no refusal
	x.endBody()
	y.spec.Metrics.Counter("relay.passed." + strconv.Itoa(upstreamAnswer.status)).Inc(1)
	y.log(x, "the upstream's refusal or failure was forwarded", upstreamAnswer.status)
}

// impliesNotRun reports whether callers understand a status to mean that their
// request did not run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// answerProblem answers with a problem of the relay's own.
func (y *Relay) answerProblem(w http.ResponseWriter, x *exchange, problem *mgproblem.Problem) {
	y.WriteProblem(w, problem)
	x.clearWriteDeadline()
	y.spec.Metrics.Counter("relay.failed." + string(problem.Kind())).Inc(1)
	keys := y.dataVersionKeys()
	if problem.Kind() == mgproblem.Quarantined {
		keys = append(keys, "digest", x.digest().String(), "parts", y.spec.Headers.partsOf(x.header))
	}
	y.spec.Log.Info("a request failed", append(keys,
		mglog.Request, x.id, mglog.Route, x.call.Route.Name(), mglog.Service, x.service,
		mglog.Version, x.call.Table.Version(), mglog.Upstream, x.lastUpstream, mglog.Kind, string(problem.Kind()),
		"status", problem.Status(), "attempts", x.attempts, "dials", x.failedDials, "ran", x.mayHaveRun,
		"ms", int64(y.elapsed(x)), "why", problem.Error())...)
}

// WriteProblem answers with a problem, with Retry-After in the deployment's format.
func (y *Relay) WriteProblem(w http.ResponseWriter, problem *mgproblem.Problem) {
	if problem.RetryAfter() > 0 {
		y.setRetryAfter(w, problem.RetryAfter())
		problem = problem.WithRetryAfter(0)
	}
	mgproblem.Write(w, problem)
}

// setRetryAfter sets Retry-After, rounded up to whole seconds unless HeaderNames allow
// fractions.
func (y *Relay) setRetryAfter(w http.ResponseWriter, delay mgclock.Millis) {
	if y.spec.Headers.RetryAfterFractions {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(delay)/float64(mgclock.Second), 'f', 3, 64))
		return
	}
	seconds := (delay + mgclock.Second - 1) / mgclock.Second
	w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
}

// abort closes the caller's connection, so that the part of the answer that the caller
// has can't appear complete (see beginBody). It never returns: it panics with http.ErrAbortHandler.
func (y *Relay) abort(x *exchange, cause error) {
	y.spec.Metrics.Counter("relay.cut").Inc(1)
	y.spec.Log.Info("an answer was cut", append(y.dataVersionKeys(),
		mglog.Request, x.id, mglog.Route, x.call.Route.Name(), mglog.Service, x.service,
		mglog.Version, x.call.Table.Version(), mglog.Upstream, x.lastUpstream,
		"attempts", x.attempts, "ms", int64(y.elapsed(x)), "why", cause.Error())...)
	panic(http.ErrAbortHandler)
}

// countAnswer counts an answer that was delivered, and logs it if it was unusual or
// sampled.
func (y *Relay) countAnswer(x *exchange, status int) {
	y.spec.Metrics.Counter("relay.answers").Inc(1)
	y.spec.Metrics.Histogram("relay.ms").Update(int64(y.elapsed(x)))
	if status >= http.StatusBadRequest {
		y.log(x, "the upstream answered with a failure", status)
		return
	}
	if x.attempts > 1 || x.failedDials > 0 {
		y.log(x, "answered after a retry", status)
		return
	}
	if y.answerCount.Add(1)%logSampleInterval == 0 {
		y.log(x, "answered", status)
	}
}

// logSampleInterval is the number of ordinary answers per logged one. Unusual
// answers are all logged.
const logSampleInterval = 20

// dataVersionKeys returns log keys for the data on which current decisions are based: the
// version of the list of upstreams and the age of the other entries' load reports.
func (y *Relay) dataVersionKeys() []any {
	if y.spec.ListVersion == nil {
		return nil
	}
	list, age := y.spec.ListVersion()
	return []any{"list", list, "loads", int64(age)}
}

func (y *Relay) log(x *exchange, what string, status int) {
	y.spec.Log.Info(what, append(y.dataVersionKeys(),
		mglog.Request, x.id, mglog.Route, x.call.Route.Name(), mglog.Service, x.service,
		mglog.Version, x.call.Table.Version(), mglog.Upstream, x.lastUpstream,
		"status", status, "attempts", x.attempts, "dials", x.failedDials, "ms", int64(y.elapsed(x)))...)
}

// cause returns why the last attempt failed.
func (x *exchange) cause() error {
	if x.problem == nil {
		return nil
	}
	return x.problem
}
