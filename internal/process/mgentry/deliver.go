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

// heartbeatInterval is the interval between comments on a caller's stream. They
// let the caller distinguish a slow answer from a dead connection.
const heartbeatInterval = mgclock.Second

// heartbeatComment is the server-sent event comment that serves as a heartbeat.
var heartbeatComment = []byte(": hb\n\n")

// errCallerSlow means that a caller did not read its stream in time.
var errCallerSlow = errors.New("entry: caller did not read its stream in time; it may resume the answer")

// eventStream writes server-sent events to a caller.
type eventStream struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout mgclock.Millis
	headerSent   bool
}

// write sends data. The status is sent with the first token, so that a refused
// request gets its own status.
func (s *eventStream) write(data []byte) error {
	if !s.headerSent {
		s.headerSent = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
	}
	// Without a deadline, a caller that stops reading would hold its generation's
	// frames forever.
	_ = s.control.SetWriteDeadline(mgclock.DeadlineAfter(s.writeTimeout))
	if _, err := s.w.Write(data); err != nil {
		return errors.Join(errCallerSlow, err)
	}
	return s.control.Flush()
}

// streamAnswer delivers an answer as server-sent events (WHATWG 2024).
func (e *Entry) streamAnswer(w http.ResponseWriter, r *http.Request, reader *answerReader, format *answerFormat) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	out := &eventStream{
		w:            w,
		control:      http.NewResponseController(w),
		writeTimeout: mgclock.Millis(e.spec.Settings.CallerTimeout),
	}
	deliveries := readAhead(ctx, reader)
	beat := e.spec.Clock.After(heartbeatInterval)
	for {
		select {
		case d := <-deliveries:
			if isLast, err := e.forward(out, format, d); isLast || err != nil {
				return
			}
		case <-beat:
			beat = e.spec.Clock.After(heartbeatInterval)
			if out.headerSent && out.write(heartbeatComment) != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// readAhead reads deliveries ahead of the caller. Its goroutine owns the reader.
func readAhead(ctx context.Context, reader *answerReader) <-chan delivery {
	deliveries := make(chan delivery, readAheadFrames)
	go func() {
		defer reader.close()
		for {
			d := reader.next(ctx)
			select {
			case deliveries <- d:
			case <-ctx.Done():
				return
			}
			if d.isLast() {
				return
			}
		}
	}()
	return deliveries
}

// forward writes a delivery to the caller and reports whether it was the last.
func (e *Entry) forward(out *eventStream, format *answerFormat, d delivery) (bool, error) {
	if d.problem != nil {
		return true, e.writeFailure(out, format, d)
	}
	if d.restarted {
		e.announceName(out.w, format.account, d.attempt)
		return false, nil
	}
	if len(d.decision.Tokens()) > 0 {
		e.recordFirstToken(format)
		if err := out.write(format.tokens(d)); err != nil {
			return true, err
		}
		format.lastDelivered = d.decision.Last()
	}
	if d.decision.Action() != mgdelivery.Finish {
		return false, nil
	}
	e.recordAnswer(format)
	return true, out.write(format.finish(d))
}

// writeFailure ends an answer with its problem: as the response status if nothing
// was delivered, otherwise as an event.
func (e *Entry) writeFailure(out *eventStream, format *answerFormat, d delivery) error {
	e.spec.Metrics.Counter("failures").Inc(1)
	if !out.headerSent {
		mgproblem.Write(out.w, d.problem)
		return nil
	}
	return out.write(format.errorEvent(d.problem, format.lastDelivered))
}

// writeWhole delivers an answer in one response without streaming.
func (e *Entry) writeWhole(w http.ResponseWriter, r *http.Request, reader *answerReader, format *answerFormat) {
	defer reader.close()
	for {
		d := reader.next(r.Context())
		if d.problem != nil {
			e.spec.Metrics.Counter("failures").Inc(1)
			mgproblem.Write(w, d.problem)
			return
		}
		if d.restarted {
			e.announceName(w, format.account, d.attempt)
		}
		if d.decision.Action() == mgdelivery.Finish {
			e.recordAnswer(format)
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(format.completeJSON(d))
			return
		}
	}
}

// recordFirstToken records how long a streaming caller waited for its first
// token.
func (e *Entry) recordFirstToken(format *answerFormat) {
	if format.awaitsFirstToken {
		format.awaitsFirstToken = false
		e.spec.Metrics.Histogram("first").Update(int64(e.spec.Clock.Now() - format.receivedAt))
	}
}

// recordAnswer records a complete answer, which adds a fraction of a retry to its
// service's budget.
func (e *Entry) recordAnswer(format *answerFormat) {
	e.spec.Metrics.Counter("answers").Inc(1)
	if format.model != "" {
		e.budgets.Of(format.model).Earn(mgretry.Ratio)
	}
}
