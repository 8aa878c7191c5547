package mgclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// session receives one answer over as many connections as needed.
type session struct {
	client        *Client
	data          []byte
	onToken       func(Token) error
	answer        Answer
	text          strings.Builder
	isNameSettled bool // a token or a resume has confirmed the answer's name
}

// errSilent is the cause of a connection that was closed because nothing was
// received. A middlebox may have dropped its state of the connection, which then
// would never break by itself.
var errSilent = errors.New("nothing was received on the connection in time: it was closed")

// errConnectionEnded is the cause of a connection that ended before the answer.
var errConnectionEnded = errors.New("the connection ended before the answer did")

// run makes attempts until the answer is complete or a problem is final. An
// attempt that received tokens resets the count.
func (s *session) run(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		tokensBefore := s.answer.tokens
		err := s.attempt(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return cancelledProblem(ctx, s.outcome())
		}
		if s.answer.tokens > tokensBefore {
			attempt = 1
		}
		if problem := s.finalProblem(err, attempt); problem != nil {
			return s.problemOfRequest(problem)
		}
		if !s.client.spec.Clock.Sleep(ctx, s.retryDelay(err, attempt)) {
			return cancelledProblem(ctx, s.outcome())
		}
	}
}

// outcome returns the outcome to report to a caller who gives up.
func (s *session) outcome() mgproblem.Outcome {
	if s.answer.starts == 0 {
		return mgproblem.NotRun
	}
	return mgproblem.Unknown
}

// attempt requests the answer, or the rest of it, once.
func (s *session) attempt(ctx context.Context) error {
	method, path, timeout := http.MethodPost, "/v1/chat/completions", s.client.beginTimeout()
	if s.answer.name != "" {
		method, path, timeout = http.MethodGet, "/v1/answers/"+url.PathEscape(s.answer.name), s.client.silenceTimeout()
	}
	r, entry, err := s.client.request(ctx, method, path, s.data)
	if err != nil {
		return err
	}
	r.Header.Set("Accept", "text/event-stream")
	if s.answer.name != "" {
		s.isNameSettled = true
		r.Header.Set("Last-Event-ID", s.answer.name+"."+strconv.FormatUint(s.answer.tokens, 10))
		s.answer.resumes++
	} else {
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set(resumeHeader, "yes")
		s.answer.starts++
	}
	err = s.stream(ctx, r, timeout)
	if err != nil && method == http.MethodPost {
		s.clearNameIfNotRun(err)
	}
	if err != nil && shouldSwitchEntry(err) {
		s.client.switchEntry(entry)
	}
	return err
}

// finalProblem returns the final problem after a failed attempt, or nil when it
// is to be retried.
//
// Without the answer's name, an attempt that may have run is final: repeating it
// would start a second generation. With the name, the answer can be requested
// any number of times.
func (s *session) finalProblem(err error, attempt int) *mgproblem.Problem {
	var problem *mgproblem.Problem
	if errors.As(err, &problem) {
		if !s.shouldRetry(problem) || attempt >= s.client.maxTries() {
			return problem
		}
		return nil
	}
	var transport *transportError
	wasSent := !errors.As(err, &transport) || transport.sent
	switch {
	case s.answer.name == "" && wasSent:
		return unconfirmedProblem(err)
	case attempt < s.client.maxTries():
		return nil
	case s.answer.name == "":
		return unreachableProblem(err)
	default:
		return mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
			fmt.Sprintf("%d tries to resume after token %d failed", attempt, s.answer.tokens),
			"resume later by the answer's name").WithCause(err)
	}
}

// problemOfRequest converts the problem of the last attempt to that of the
// request. "Not run" in the reply to a resume applies to the resume alone: the
// answer has begun.
func (s *session) problemOfRequest(problem *mgproblem.Problem) *mgproblem.Problem {
	if s.answer.resumes == 0 || problem.Outcome() != mgproblem.NotRun {
		return problem
	}
	return mgproblem.New(problem.Kind(), mgproblem.Unknown, problem.Detail(), problem.Remedy()).
		WithRetryAfter(problem.RetryAfter()).WithCause(problem)
}

// shouldRetry reports whether another attempt may succeed after a problem. A
// lost generation can't be resumed, even if a new request may succeed.
func (s *session) shouldRetry(problem *mgproblem.Problem) bool {
	if problem.Kind() == mgproblem.Interrupted {
		return false
	}
	return isTransient(problem) || s.answer.name != "" && (shouldSwitchEntry(problem) || problem.RetryAfter() > 0)
}

// retryDelay returns the delay before the next attempt. An answer whose
// connection failed for the first time is resumed at once.
func (s *session) retryDelay(err error, attempt int) mgclock.Millis {
	if s.answer.name != "" && attempt == 1 && retryAfter(err) == 0 {
		return 0
	}
	return backoff(attempt, retryAfter(err), s.client.jitter())
}
