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
	if !s.named {
		// The name that came ahead may be of a generation that was lost before
		// its first token; the entry has then started another.
		s.answer.name = name
		s.named = true
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
		s.named = false
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
