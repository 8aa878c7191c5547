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

// stream sends r and reads its events until the answer is whole.
func (s *session) stream(ctx context.Context, r *http.Request, timeout mgclock.Millis) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.client.cancelAfter(timeout, cancel)
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
	received := readEventStream(response.Body, quit)
	defer func() {
		close(quit)
		_ = response.Body.Close()
		for range received { // the reader's end: it holds nothing after this
		}
	}()
	if response.StatusCode != http.StatusOK {
		return &transportError{
			sent:  true,
			cause: fmt.Errorf("status %s without a problem: something between answered", response.Status),
		}
	}
	return s.readEvents(ctx, received)
}

// follow takes events until the answer is whole, the connection ends or falls
// silent.
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

// take takes one event and reports whether the answer is whole.
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
		// The name that came ahead may be of a generation that was lost before
		// its first token; the entry has then started another.
		s.answer.name = name
		s.isNameSettled = true
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
	s.answer.preempted = max(s.answer.preempted, c.Preempted)
	return s.handleChunk(seq, c.Choices[0])
}

// disown forgets the answer's name where the system attests that no generation
// is behind it, so that asking again is safe. "Not run" in the reply to a
// resume may speak of the resume alone.
func (s *session) clearNameIfNotRun(err error) {
	var problem *mgproblem.Problem
	notRun := errors.As(err, &problem) && problem.Outcome() == mgproblem.NotRun
	if notRun && s.answer.tokens == 0 {
		s.answer.name = ""
		s.isNameSettled = false
	}
}

// accept takes one event of the right answer. An event that only ends the
// answer carries the number of its last token.
func (s *session) handleChunk(seq uint64, c choice) (bool, error) {
	isLast := c.Finish != nil && *c.Finish != ""
	switch {
	case seq > s.answer.tokens+1 || seq == s.answer.tokens+1 && seq == 0:
		return false, fmt.Errorf("token %d came after %d: the connection was given up", seq, s.answer.tokens)
	case seq == s.answer.tokens+1:
		if err := s.deliver(seq, c.Delta.Content); err != nil {
			return false, err
		}
	case isLast && seq < s.answer.tokens:
		return false, fmt.Errorf("the answer ended at token %d after token %d: the connection was given up", seq, s.answer.tokens)
	}
	if isLast {
		s.answer.end = *c.Finish
	}
	return isLast, nil
}

// deliver passes a new token on.
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
