package mgrelay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// attemptOutcome is how an attempt ended.
type attemptOutcome int

const (
	delivered    attemptOutcome = iota // the caller has its complete answer
	notConnected                       // no connection, so nothing was sent
	refused                            // the upstream stated that the request did not run
	failed                             // the request may have run, and there is no successful answer to deliver
	interrupted                        // a stream broke off
)

// maxBufferedAnswer bounds in bytes an answer that is read completely before it is
// delivered. Such an answer can be requested again when it breaks off.
const maxBufferedAnswer = 256 << 10

// minBufferedAnswer is that bound in bytes while too much is held for callers, and answerCopies the number of
// times that an answer is held as its buffer grows.
const (
	minBufferedAnswer = 16 << 10
	answerCopies      = 2
)

// attempt sends a request to one upstream and delivers its answer.
func (y *Relay) attempt(ctx context.Context, w http.ResponseWriter, x *exchange, host Host) (outcome attemptOutcome) {
	outcome = failed // what the deferred call sees if abort panics, as when the caller's connection breaks
	defer func() { x.endAttempt(outcome == delivered) }()
	y.nameBackup(x, host)
	defer func() { y.endBackup(x, host, outcome) }()
	x.tried[host.Name] = true
	x.lastUpstream = host.Name
	defer y.countLoad(x, host)()
	// Closing the connection tells the upstream to stop.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.sentAt = y.spec.Clock.Now()
	x.endUnknown = false
	x.nextCrashNumber = y.spec.Quarantine.NextNumber()
	y.announceOrigin(x, host)
	x.watch = &processWatch{
		relay:   y,
		host:    host,
		service: x.service,
	}
	defer x.watch.close()
	request := y.newRequest(mgdial.WithSendCheck(ctx, func(conn net.Conn) error {
		x.watch.beginEarly(ctx, conn)
		return x.checkCaller()
	}), x, host)
	y.addResumeHeaders(x, request)
	response, err := mgdial.Do(y.spec.Client, request)
	if err != nil {
		return y.classifyFailure(ctx, x, host, err)
	}
	defer response.Body.Close()
	x.watch.follow(ctx, response)
	y.spec.ReportAnswered(host.Name)
	y.recordLeavingHeader(x, host, response)
	x.statedVersion = response.Header.Get(y.spec.Headers.Software)
	y.recordRetryAfter(x, host, response)
	y.recordLimit(x, host, response)
	x.attempts++
	if y.isRefusal(response) {
		y.recordMisdirected(host, response)
		return y.keepRefusal(ctx, x, host, response)
	}
	x.mayHaveRun = true
	if problem := y.checkAnswer(x, response); problem != nil {
		return y.discardAnswer(x, host, problem)
	}
	if impliesNotRun(response.StatusCode) {
		// Callers understand the status as "not run" (see impliesNotRun), but the
		// upstream didn't state that with Headers.Refused.
		x.problem = mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
			"the upstream failed with a status that promises what it didn't say", "send the request again if it may run twice")
		return failed
	}
	if x.headerSent && response.StatusCode >= http.StatusMultipleChoices {
		x.problem = mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
			"the generation does not go on there", "send the request again if it may run twice")
		return failed
	}
	if response.StatusCode >= http.StatusInternalServerError {
		x.failure = y.bufferAnswer(ctx, x, host, response, mgproblem.Unknown)
		return failed
	}
	y.spec.Budgets.Of(x.service).Earn(mgretry.Ratio)
	if x.call.Route.Kind() == mgtable.Stream && response.StatusCode < http.StatusMultipleChoices {
		return y.deliverStream(ctx, w, x, host, response)
	}
	return y.deliverWhole(ctx, w, x, host, response)
}

// countLoad adds a request to the load of an upstream, and returns the function that
// subtracts it again.
func (y *Relay) countLoad(x *exchange, host Host) (release func()) {
	load := mgload.Load{
		Runs:   1,
		Memory: x.size.memory(),
	}
	x.pendingTokens = 0
	if x.resumeFrom.copyRef == "" {
		x.pendingTokens = x.size.prompt
	}
	load.Pending = x.pendingTokens
	y.beginMeasuring(x, host)
	y.spec.Load.Add(host.Name, load)
	return func() {
		y.spec.Load.Add(host.Name, mgload.Load{
			Runs:    -1,
			Pending: -x.pendingTokens,
			Memory:  -load.Memory,
		})
	}
}

// countPromptRead counts a request's prompt as read when the answer begins.
func (y *Relay) countPromptRead(x *exchange, host Host) {
	y.spec.Load.Add(host.Name, mgload.Load{Pending: -x.pendingTokens})
	x.pendingTokens = 0
}

// newRequest returns the request to send to an upstream.
func (y *Relay) newRequest(ctx context.Context, x *exchange, host Host) *http.Request {
	header := x.header.Clone()
	names := &y.spec.Headers
	if names.Upstream != "" {
		header.Set(names.Upstream, host.Name)
	}
	if names.Deadline != "" {
		left := max(x.timeLeft(y.spec.Clock.Now()), 1)
		header.Set(names.Deadline, strconv.FormatInt(int64(left), 10))
	}
	if x.backup != nil {
		header.Set(names.Backup, x.backup.host.Addr)
	}
	request := &http.Request{
		Method: x.method,
		URL: &url.URL{
			Scheme: "http",
			Host:   host.Addr,
			Opaque: x.target,
		},
		Host:          x.hostHeader,
		Header:        header,
		ContentLength: int64(len(x.body)),
	}
	if len(x.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	return request.WithContext(ctx)
}

// discardAnswer records an answer that can't be passed on.
func (y *Relay) discardAnswer(x *exchange, host Host, problem *mgproblem.Problem) attemptOutcome {
	x.problem = problem
	y.spec.Metrics.Counter("relay.garbled").Inc(1)
	y.spec.Load.RecordFault(y.spec.Clock.Now(), host.Name)
	return failed
}

// classifyFailure returns the outcome of an attempt that got no answer.
func (y *Relay) classifyFailure(ctx context.Context, x *exchange, host Host, err error) attemptOutcome {
	var malformed *mgdial.MalformedError
	if errors.As(err, &malformed) {
		y.spec.ReportAnswered(host.Name)
		x.attempts++
		x.mayHaveRun = true
		return y.discardAnswer(x, host, mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
			"the upstream's answer is malformed", "send the request again if it may run twice").WithCause(err))
	}
	var failure *mgdial.Failure
	unsent := errors.As(err, &failure) && !failure.Sent()
	if ctx.Err() == nil {
		y.spec.ReportFailed(host.Name)
		y.recordLoss(x, host)
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		y.spec.Load.RecordFault(y.spec.Clock.Now(), host.Name)
	}
	x.problem = mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
		"the upstream gave no answer", "send the request again if it may run twice").WithCause(err)
	if unsent {
		x.failedDials++
		return notConnected
	}
	x.attempts++
	x.mayHaveRun = true
	x.brokeOff = true
	if ctx.Err() == nil {
		y.recordBrokenAttempt(x, host, partialAnswer{})
	} else {
		y.recordSilentAttempt(x, host, partialAnswer{})
	}
	return failed
}

// isRefusal reports whether an answer states that the request did not run.
func (y *Relay) isRefusal(response *http.Response) bool {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	return response.StatusCode >= http.StatusBadRequest && response.Header.Get(y.spec.Headers.Refused) != ""
}

// recordLeavingHeader reports an upstream as leaving if its answer says so.
func (y *Relay) recordLeavingHeader(x *exchange, host Host, response *http.Response) {
	name := y.spec.Headers.Leaving
	if name == "" || response.Header.Get(name) == "" || y.spec.IsLeaving == nil || y.spec.IsLeaving(host.Name) {
		return
	}
	y.spec.Metrics.Counter("relay.leaving").Inc(1)
	y.spec.Log.Info("an upstream reports in an answer that it is leaving, which the list doesn't show",
		mglog.Request, x.id, mglog.Upstream, host.Name)
	y.spec.ReportDeparted(host.Name)
}

// recordMisdirected reports a host as gone if another upstream answers at its
// address, whatever the list shows. Otherwise the host, at whose address
// none of our requests run, would appear least loaded, and every further request
// would be sent there. An upstream whose Instance header has its own name isn't
// reported.
func (y *Relay) recordMisdirected(host Host, response *http.Response) {
	instance := response.Header.Get(y.spec.Headers.Instance)
	if response.StatusCode != http.StatusMisdirectedRequest || instance == "" || instance == host.Name {
		return
	}
	y.spec.Log.Info("another upstream answers at the address", mglog.Upstream, host.Name, "answered", instance, "address", host.Addr)
	if y.spec.ReportDeparted != nil {
		y.spec.ReportDeparted(host.Name)
	}
}

// keepRefusal keeps the answer of a refusing upstream for the caller.
func (y *Relay) keepRefusal(ctx context.Context, x *exchange, host Host, response *http.Response) attemptOutcome {
	x.refusal = y.bufferAnswer(ctx, x, host, response, mgproblem.NotRun)
	y.spec.Metrics.Counter("relay.refused").Inc(1)
	return refused
}

// answerLimit returns how many bytes of an answer are read before it is passed on: maxBufferedAnswer if they may
// be held for the caller, else minBufferedAnswer, which its connection covers.
func (x *exchange) answerLimit(response *http.Response) int64 {
	if response.ContentLength >= 0 && response.ContentLength < minBufferedAnswer {
		return maxBufferedAnswer
	}
	if x.claim.TryReserve(int64(len(x.body)) + answerCopies*maxBufferedAnswer) {
		return maxBufferedAnswer
	}
	return minBufferedAnswer
}

// errLongAnswer means that an answer can't be passed on whole, because it can't be delivered
// before other upstreams have been tried.
var errLongAnswer = fmt.Errorf("mgrelay: the upstream's refusal or failure has over %d bytes: let it send a shorter one", maxBufferedAnswer)

// bufferAnswer reads the answer of a failed or refusing upstream. If it breaks off or has over
// maxBufferedAnswer bytes, bufferAnswer sets the problem with the outcome and returns nil.
func (y *Relay) bufferAnswer(ctx context.Context, x *exchange, host Host, response *http.Response, outcome mgproblem.Outcome) *answer {
	limit := x.answerLimit(response)
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errLongAnswer
	}
	if err = y.endWhole(ctx, x, host, response, err); err != nil {
		x.problem = mgproblem.New(mgproblem.Interrupted, outcome, "the upstream's answer is not whole",
			"send the request again if it may run twice").WithCause(err)
		return nil
	}
	return &answer{
		status:       response.StatusCode,
		header:       response.Header,
		body:         body,
		endsWithConn: mgdial.EndsWithConnection(response),
	}
}

// checkAnswer returns a problem if an answer can't be the upstream's own answer to
// this request: it may be the late answer to an earlier request, or come from
// another program at the address.
func (y *Relay) checkAnswer(x *exchange, response *http.Response) *mgproblem.Problem {
	names := &y.spec.Headers
	why := ""
	echo := response.Header.Get(names.ID)
	success := response.StatusCode < http.StatusMultipleChoices
	switch {
	case echo != x.id && (success || echo != ""):
		why = "the answer names another request"
	case success && names.Signature != "" && response.Header.Get(names.Signature) == "":
		why = "the answer has no signature"
	case response.Header.Get("Content-Encoding") != "":
		why = "the answer is encoded, which nobody asked for"
	default:
		return nil
	}
	return mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown, why, "send the request again if it may run twice")
}

// deliverWhole delivers an answer that is not a stream.
func (y *Relay) deliverWhole(ctx context.Context, w http.ResponseWriter, x *exchange, host Host, response *http.Response) attemptOutcome {
	limit := x.answerLimit(response)
	body, err := io.ReadAll(io.LimitReader(response.Body, limit))
	hasMore := err == nil && int64(len(body)) == limit
	if !hasMore {
		if cause := y.endWhole(ctx, x, host, response, err); cause != nil {
			x.problem = mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
				"the answer broke off", "send the request again if it may run twice").WithCause(cause)
			if ctx.Err() == nil && !y.isExpired(x) {
				y.recordBrokenAttempt(x, host, partialAnswer{
					headerReceived: true,
				})
			}
			return failed
		}
	}
	if y.spec.Clock.Now() > x.startedAt+x.timeout+writeSlack {
		y.spec.Metrics.Counter("relay.late").Inc(1)
	}
	y.spec.Load.RecordPace(y.spec.Clock.Now(), x.lastUpstream, float64(y.spec.Clock.Now()-x.sentAt))
	y.spec.Load.RecordAnswer(y.spec.Clock.Now(), x.lastUpstream)
	y.recordQuarantineAnswer(x, response.StatusCode)
	header := w.Header()
	copyHeader(header, response.Header)
	if !hasMore && x.method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.beginBody(header, mgdial.EndsWithConnection(response))
	w.WriteHeader(response.StatusCode)
	_, err = w.Write(body)
	if err == nil && hasMore {
		if _, err = io.Copy(w, response.Body); err == nil {
			err = y.endWhole(ctx, x, host, response, nil)
		}
	}
	if err != nil {
		y.abort(x, err)
	}
	x.endBody()
	y.countAnswer(x, response.StatusCode)
	return delivered
}

// endWhole returns why an answer that isn't a stream, and whose body has ended, is not whole, or
// nil. An answer of which that is unknown is passed on with the upstream's framing, which claims
// nothing.
func (y *Relay) endWhole(ctx context.Context, x *exchange, host Host, response *http.Response, err error) error {
	end := y.endOf(x, response, err)
	result, cause := y.endingOf(ctx, host, end)
	y.recordEnd(x, end, result)
	if result == endsBroken {
		return cause
	}
	return nil
}

// copyHeader copies an answer's headers. A missing Content-Type stays missing:
// otherwise the library would guess one.
func copyHeader(to, from http.Header) {
	for name, values := range endToEndHeaders(from) {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}

// isExpired reports whether a request's time is over. A process that runs late learns that from its
// timers only afterwards.
func (y *Relay) isExpired(x *exchange) bool { return x.timeLeft(y.spec.Clock.Now()) <= 0 }

// elapsed returns how long a request has taken so far.
func (y *Relay) elapsed(x *exchange) mgclock.Millis { return y.spec.Clock.Now() - x.startedAt }
