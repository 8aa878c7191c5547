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

// session is one answer on its way, over as many connections as it takes.
type session struct {
	client        *Client
	data          []byte
	onToken       func(Token) error
	answer        Answer
	text          strings.Builder
	isNameSettled bool // a token or a resume has settled the answer's name
}

// errSilent is the cause of a connection given up for its silence. A
// middlebox may have dropped its entry for it, so that it would never break by
// itself.
var errSilent = errors.New("no sign of life on the connection: it was given up")

// errCut is the cause of a connection that ended before the answer did.
var errConnectionEnded = errors.New("the connection ended before the answer did")

// run tries until the answer is whole or nothing more can be done.
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

// outcome returns what a caller who gives up is told.
func (s *session) outcome() mgproblem.Outcome {
	if s.answer.starts == 0 {
		return mgproblem.NotRun
	}
	return mgproblem.Unknown
}

// try asks for the answer, or for the rest of it, once.
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

// judge returns the final problem after a failed try, or nil when the next try
// may follow.
//
// Without an answer's name, a try that may have run is final: asking again
// would start a second generation. With it, the answer can be asked for as
// often as it takes.
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

// whole returns the problem of the last try as that of the request. "Not run"
// in the reply to a resume speaks of the resume: the answer has begun.
func (s *session) problemOfRequest(problem *mgproblem.Problem) *mgproblem.Problem {
	if s.answer.resumes == 0 || problem.Outcome() != mgproblem.NotRun {
		return problem
	}
	return mgproblem.New(problem.Kind(), mgproblem.Unknown, problem.Detail(), problem.Remedy()).
		WithRetry(problem.Retry()).WithCause(problem)
}

// again reports whether the next try may do better after a problem. A
// generation that was lost stays lost, also where a new request may succeed.
func (s *session) shouldRetry(problem *mgproblem.Problem) bool {
	if problem.Kind() == mgproblem.Interrupted {
		return false
	}
	return isTransient(problem) || s.answer.name != "" && (shouldSwitchEntry(problem) || problem.Retry() > 0)
}

// wait returns how long to wait before the next try. An answer whose
// connection failed for the first time goes on at once.
func (s *session) retryDelay(err error, attempt int) mgclock.Millis {
	if s.answer.name != "" && attempt == 1 && retryAfter(err) == 0 {
		return 0
	}
	return backoff(attempt, retryAfter(err), s.client.jitter())
}
