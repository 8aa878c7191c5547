package mgclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// A Token is one token of an answer.
type Token struct {
	seq  uint64
	text string
}

// Seq returns the token's number, from 1.
func (t Token) Seq() uint64 { return t.seq }

// Text returns the token's text.
func (t Token) Text() string { return t.text }

// An Answer is what came of a request.
type Answer struct {
	name    string
	text    string
	end     string
	tokens  uint64
	starts  int
	resumes int
	evicted int
}

// Name returns the answer's name, by which it can be resumed.
func (a Answer) Name() string { return a.name }

// Text returns the answer's tokens in one piece.
func (a Answer) Text() string { return a.text }

// End returns why the answer ended, such as "stop" or "length", or nothing
// when it isn't whole.
func (a Answer) End() string { return a.end }

// Tokens returns the number of tokens.
func (a Answer) Tokens() uint64 { return a.tokens }

// Starts returns how many times a generation was asked for. All but the last
// were attested not run.
func (a Answer) Starts() int { return a.starts }

// Resumes returns how many times the answer went on through a new connection.
func (a Answer) Resumes() int { return a.resumes }

// Preempted returns how many times the engine evicted the answer's generation.
func (a Answer) Preempted() int { return a.evicted }

// Complete asks for one answer and passes each of its tokens to each, once and
// in order. Each may be nil; its error ends the answer. With an error, the
// Answer holds what came before it.
func (c *Client) Complete(ctx context.Context, request Request, each func(Token) error) (Answer, error) {
	if problem := c.ready(); problem != nil {
		return Answer{}, problem
	}
	request.Stream = true
	data, err := json.Marshal(request)
	if err != nil {
		return Answer{}, mgproblem.New(mgproblem.Invalid, mgproblem.NotRun,
			"the request can't be written as JSON", "check its text").WithCause(err)
	}
	s := session{
		client: c,
		data:   data,
		each:   each,
	}
	err = s.run(ctx)
	s.answer.text = s.text.String()
	return s.answer, err
}

// Resume goes on with an answer from the token after the last one that the
// caller has. The Answer holds only the tokens from there on.
func (c *Client) Resume(ctx context.Context, answer string, last uint64, each func(Token) error) (Answer, error) {
	if problem := c.ready(); problem != nil {
		return Answer{}, problem
	}
	s := session{
		client: c,
		each:   each,
		answer: Answer{
			name:   answer,
			tokens: last,
		},
	}
	err := s.run(ctx)
	s.answer.text = s.text.String()
	return s.answer, err
}

// session is one answer on its way, over as many connections as it takes.
type session struct {
	client *Client
	data   []byte
	each   func(Token) error
	answer Answer
	text   strings.Builder
}

// errSilent is the cause of a connection given up for its silence. The other
// end may have lost track of it, so that it would never break by itself.
var errSilent = errors.New("no sign of life on the connection: it was given up")

// errCut is the cause of a connection that ended before the answer did.
var errCut = errors.New("the connection ended before the answer did")

// run tries until the answer is whole or nothing more can be done.
func (s *session) run(ctx context.Context) error {
	for try := 1; ; try++ {
		had := s.answer.tokens
		err := s.try(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ended(ctx, s.outcome())
		}
		if s.answer.tokens > had {
			try = 1
		}
		if problem := s.judge(err, try); problem != nil {
			return problem
		}
		if !s.client.spec.Clock.Sleep(ctx, s.wait(err, try)) {
			return ended(ctx, s.outcome())
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
func (s *session) try(ctx context.Context) error {
	method, path, wait := http.MethodPost, "/v1/chat/completions", s.client.begin()
	if s.answer.name != "" {
		method, path, wait = http.MethodGet, "/v1/answers/"+url.PathEscape(s.answer.name), s.client.silence()
	}
	r, n, err := s.client.request(ctx, method, path, s.data)
	if err != nil {
		return err
	}
	r.Header.Set("Accept", "text/event-stream")
	if s.answer.name != "" {
		r.Header.Set("Last-Event-ID", s.answer.name+"."+strconv.FormatUint(s.answer.tokens, 10))
		s.answer.resumes++
	} else {
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set(resumeHeader, "yes")
		s.answer.starts++
	}
	err = s.stream(ctx, r, wait)
	if err != nil && method == http.MethodPost {
		s.disown(err)
	}
	if err != nil && elsewhere(err) {
		s.client.leave(n)
	}
	return err
}

// judge returns the final problem after a failed try, or nil when the next try
// may follow.
//
// Without an answer's name, a try that may have run is final: asking again
// would start a second generation. With it, the answer can be asked for as
// often as it takes.
func (s *session) judge(err error, try int) *mgproblem.Problem {
	var problem *mgproblem.Problem
	if errors.As(err, &problem) {
		if !s.again(problem) || try >= s.client.tries() {
			return problem
		}
		return nil
	}
	var transport *transportError
	sent := !errors.As(err, &transport) || transport.sent
	switch {
	case s.answer.name == "" && sent:
		return unconfirmed(err)
	case try < s.client.tries():
		return nil
	case s.answer.name == "":
		return unreached(err)
	default:
		return mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
			fmt.Sprintf("%d tries to resume after token %d failed", try, s.answer.tokens),
			"resume later by the answer's name").WithCause(err)
	}
}

// again reports whether the next try may do better after a problem. A
// generation that was lost stays lost, also where a new request may succeed.
func (s *session) again(problem *mgproblem.Problem) bool {
	if problem.Kind() == mgproblem.Interrupted {
		return false
	}
	return passes(problem) || s.answer.name != "" && (elsewhere(problem) || problem.Retry() > 0)
}

// wait returns how long to wait before the next try. An answer whose
// connection failed for the first time goes on at once.
func (s *session) wait(err error, try int) mgclock.Millis {
	if s.answer.name != "" && try == 1 && retryOf(err) == 0 {
		return 0
	}
	return backoff(try, retryOf(err), s.client.jitter())
}

// stream sends r and reads its events until the answer is whole.
func (s *session) stream(ctx context.Context, r *http.Request, wait mgclock.Millis) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.client.watch(wait, cancel)
	var early earlyName
	response, err := s.client.send(r.WithContext(early.trace(ctx)))
	stop()
	if s.answer.name == "" {
		s.answer.name = early.load()
	}
	if err != nil {
		return err
	}
	quit := make(chan struct{})
	read := events(response.Body, quit)
	defer func() {
		close(quit)
		_ = response.Body.Close()
		for range read { // the reader's end: it holds nothing after this
		}
	}()
	if response.StatusCode != http.StatusOK {
		return &transportError{
			sent:  true,
			cause: fmt.Errorf("status %s without a problem: something between answered", response.Status),
		}
	}
	return s.follow(ctx, read)
}

// follow takes events until the answer is whole, the connection ends or falls
// silent.
func (s *session) follow(ctx context.Context, read <-chan event) error {
	clock, silence := s.client.spec.Clock, s.client.silence()
	life := clock.Now()
	alarm := clock.After(silence)
	for {
		select {
		case e, ok := <-read:
			if !ok {
				return errCut
			}
			life = clock.Now()
			whole, err := s.take(e)
			if whole || err != nil {
				return err
			}
		case <-alarm:
			left := life + silence - clock.Now()
			if left <= 0 {
				return errSilent
			}
			alarm = clock.After(left)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// take takes one event and reports whether the answer is whole.
func (s *session) take(e event) (bool, error) {
	if problem := parseProblem([]byte(e.data)); problem != nil {
		return false, problem
	}
	if e.data == "" || e.data == "[DONE]" {
		return s.answer.end != "", nil
	}
	name, seq, err := parseID(e.id)
	if err != nil {
		return false, err
	}
	if s.answer.name == "" {
		s.answer.name = name
	}
	if name != s.answer.name {
		return false, fmt.Errorf("a token of the answer %q came: the connection was given up", name)
	}
	var c chunk
	if err := json.Unmarshal([]byte(e.data), &c); err != nil {
		return false, fmt.Errorf("event %s can't be read: the connection was given up: %w", e.id, err)
	}
	if len(c.Choices) == 0 {
		return false, nil
	}
	s.answer.evicted = max(s.answer.evicted, c.Preempted)
	return s.accept(seq, c.Choices[0])
}

// disown forgets the answer's name where the system attests that no generation
// is behind it, so that asking again is safe. "Not run" in the reply to a
// resume may speak of the resume alone.
func (s *session) disown(err error) {
	var problem *mgproblem.Problem
	attested := errors.As(err, &problem) && problem.Outcome() == mgproblem.NotRun
	if attested && s.answer.tokens == 0 {
		s.answer.name = ""
	}
}

// accept takes one event of the right answer. An event that only ends the
// answer carries the number of its last token.
func (s *session) accept(seq uint64, c choice) (bool, error) {
	ends := c.Finish != nil && *c.Finish != ""
	switch {
	case seq > s.answer.tokens+1 || seq == s.answer.tokens+1 && seq == 0:
		return false, fmt.Errorf("token %d came after %d: the connection was given up", seq, s.answer.tokens)
	case seq == s.answer.tokens+1:
		if err := s.deliver(seq, c.Delta.Content); err != nil {
			return false, err
		}
	case ends && seq < s.answer.tokens:
		return false, fmt.Errorf("the answer ended at token %d after token %d: the connection was given up", seq, s.answer.tokens)
	}
	if ends {
		s.answer.end = *c.Finish
	}
	return ends, nil
}

// deliver passes a new token on.
func (s *session) deliver(seq uint64, text string) error {
	if s.each != nil {
		err := s.each(Token{
			seq:  seq,
			text: text,
		})
		if err != nil {
			return mgproblem.New(mgproblem.Cancelled, mgproblem.Unknown,
				"the caller refused a token", "resume by the answer's name").WithCause(err)
		}
	}
	s.answer.tokens = seq
	s.text.WriteString(text)
	return nil
}
