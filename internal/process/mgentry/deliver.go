package mgentry

import (
	"context"
	"errors"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgdelivery"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// callerBeat is the interval of comments on a caller's stream, by which the
// caller tells a slow answer from a dead connection.
const callerBeat = mgclock.Second

// comment is the heartbeat towards callers.
var comment = []byte(": hb\n\n")

// errSlow is why a caller's stream ends that takes nothing.
var errSlow = errors.New("entry: the caller does not take its answer: it may resume it")

// sink writes a caller's stream.
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	slow    mgclock.Millis
	begun   bool
}

// write sends data. The status goes with the first token, so that a request
// that is turned away gets a status of its own.
func (s *sink) write(data []byte) error {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
	}
	// A caller that reads nothing would hold its generation's frames for good.
	_ = s.control.SetWriteDeadline(mgclock.Deadline(s.slow))
	if _, err := s.w.Write(data); err != nil {
		return errors.Join(errSlow, err)
	}
	return s.control.Flush()
}

// stream delivers an answer as server-sent events (WHATWG 2024).
func (e *Entry) stream(w http.ResponseWriter, r *http.Request, reading *reading, form *form) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	out := &sink{
		w:       w,
		control: http.NewResponseController(w),
		slow:    mgclock.Millis(e.spec.Settings.Slow),
	}
	turns := pull(ctx, reading)
	beat := e.spec.Clock.After(callerBeat)
	for {
		select {
		case t := <-turns:
			if over, err := e.pass(out, form, t); over || err != nil {
				return
			}
		case <-beat:
			beat = e.spec.Clock.After(callerBeat)
			if out.begun && out.write(comment) != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// pull reads ahead of the caller. The reading belongs to its goroutine.
func pull(ctx context.Context, reading *reading) <-chan turn {
	turns := make(chan turn, framesAhead)
	go func() {
		defer reading.close()
		for {
			t := reading.next(ctx)
			select {
			case turns <- t:
			case <-ctx.Done():
				return
			}
			if t.over() {
				return
			}
		}
	}()
	return turns
}

// pass gives the caller a turn and reports whether it was the last.
func (e *Entry) pass(out *sink, form *form, t turn) (bool, error) {
	if t.problem != nil {
		return true, e.fail(out, form, t)
	}
	if t.moved {
		e.announce(out.w, form.account, t.attempt)
		return false, nil
	}
	if len(t.decision.Tokens()) > 0 {
		e.firstToken(form)
		if err := out.write(form.tokens(t)); err != nil {
			return true, err
		}
		form.delivered = t.decision.Last()
	}
	if t.decision.Action() != mgdelivery.Finish {
		return false, nil
	}
	e.answered(form)
	return true, out.write(form.finish(t))
}

// fail ends an answer with its problem: as the response's own status when
// nothing was delivered, else as an event.
func (e *Entry) fail(out *sink, form *form, t turn) error {
	e.spec.Metrics.Counter("failures").Inc(1)
	if !out.begun {
		mgproblem.Write(out.w, t.problem)
		return nil
	}
	return out.write(form.fault(t.problem, form.delivered))
}

// whole delivers an answer in one piece.
func (e *Entry) whole(w http.ResponseWriter, r *http.Request, reading *reading, form *form) {
	defer reading.close()
	for {
		t := reading.next(r.Context())
		if t.problem != nil {
			e.spec.Metrics.Counter("failures").Inc(1)
			mgproblem.Write(w, t.problem)
			return
		}
		if t.moved {
			e.announce(w, form.account, t.attempt)
		}
		if t.decision.Action() == mgdelivery.Finish {
			e.answered(form)
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(form.whole(t))
			return
		}
	}
}

// firstToken notes how long a streaming caller waited for its first token.
func (e *Entry) firstToken(form *form) {
	if form.waits {
		form.waits = false
		e.spec.Metrics.Histogram("first").Update(int64(e.spec.Clock.Now() - form.came))
	}
}

// answered notes a whole answer, which earns its service a part of a retry.
func (e *Entry) answered(form *form) {
	e.spec.Metrics.Counter("answers").Inc(1)
	if form.model != "" {
		e.budgets.Of(form.model).Earn(mgretry.Ratio)
	}
}
