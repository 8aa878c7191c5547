package mgclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// stream sends r and reads its events until the answer is complete.
func (s *session) stream(ctx context.Context, r *http.Request, timeout mgclock.Millis) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.client.cancelAfter(timeout, cancel)
	var earlyHints earlyName
	response, err := s.client.send(r.WithContext(earlyHints.trace(ctx)))
	stop()
	if s.answer.name == "" {
		s.answer.name = earlyHints.load()
	}
	if err != nil {
		return err
	}
	quit := make(chan struct{})
	received := readEventStream(response.Body, quit)
	defer func() {
		close(quit)
		_ = response.Body.Close()
		for range received { // wait until the reader goroutine has ended
		}
	}()
	if response.StatusCode != http.StatusOK {
		return &transportError{
			sent:  true,
			cause: fmt.Errorf("status %s without a problem: a proxy may have responded", response.Status),
		}
	}
	return s.readEvents(ctx, received)
}

// readEvents handles events until the answer is complete, the connection ends or
// nothing is received within the silence timeout.
func (s *session) readEvents(ctx context.Context, received <-chan event) error {
	clock, silence := s.client.spec.Clock, s.client.silenceTimeout()
	lastReceived := clock.Now()
	timer := clock.After(silence)
	for {
		select {
		case e, ok := <-received:
			if !ok {
				return errConnectionEnded
			}
			lastReceived = clock.Now()
			isWhole, err := s.handleEvent(e)
			if isWhole || err != nil {
				return err
			}
		case <-timer:
			remaining := lastReceived + silence - clock.Now()
			if remaining <= 0 {
				return errSilent
			}
			timer = clock.After(remaining)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handleEvent processes one event and reports whether the answer is complete.
func (s *session) handleEvent(e event) (bool, error) {
	if problem := parseProblem([]byte(e.data)); problem != nil {
		return false, problem
	}
	if e.data == "" || e.data == "[DONE]" {
		return s.answer.end != "", nil
	}
	name, seq, err := parseEventID(e.id)
	if err != nil {
		return false, err
	}
	if !s.isNameSettled {
		// The name from the early response may be that of a generation that was
		// lost before its first token; the entry has then started another.
		s.answer.name = name
		s.isNameSettled = true
	}
	if name != s.answer.name {
		return false, fmt.Errorf("a token of the answer %q came: the connection was closed", name)
	}
	var c chunk
	if err := json.Unmarshal([]byte(e.data), &c); err != nil {
		return false, fmt.Errorf("event %s can't be read: the connection was closed: %w", e.id, err)
	}
	if len(c.Choices) == 0 {
		return false, nil
	}
	s.answer.preempted = max(s.answer.preempted, c.Preempted)
	return s.handleChunk(seq, c.Choices[0])
}

// clearNameIfNotRun clears the answer's name when the system attests that its
// generation did not run, so that a new request is safe. It is not for replies to
// a resume, where "not run" may apply to the resume alone.
func (s *session) clearNameIfNotRun(err error) {
	var problem *mgproblem.Problem
	notRun := errors.As(err, &problem) && problem.Outcome() == mgproblem.NotRun
	if notRun && s.answer.tokens == 0 {
		s.answer.name = ""
		s.isNameSettled = false
	}
}

// handleChunk processes one chunk of this answer. A chunk that only ends the
// answer carries the number of its last token.
func (s *session) handleChunk(seq uint64, c choice) (bool, error) {
	isLast := c.Finish != nil && *c.Finish != ""
	switch {
	case seq > s.answer.tokens+1 || seq == s.answer.tokens+1 && seq == 0:
		return false, fmt.Errorf("token %d came after %d: the connection was closed", seq, s.answer.tokens)
	case seq == s.answer.tokens+1:
		if err := s.deliver(seq, c.Delta.Content); err != nil {
			return false, err
		}
	case isLast && seq < s.answer.tokens:
		return false, fmt.Errorf("the answer ended at token %d after token %d: the connection was closed", seq, s.answer.tokens)
	}
	if isLast {
		s.answer.end = *c.Finish
	}
	return isLast, nil
}

// deliver appends a new token and passes it to the caller.
func (s *session) deliver(seq uint64, text string) error {
	if s.onToken != nil {
		err := s.onToken(Token{
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
