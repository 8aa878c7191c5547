package mgrelay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// maxEventBytes bounds one event of a stream in bytes.
const maxEventBytes = 1 << 20

// eventSeparator separates the events of a stream (HTML Living Standard, 9.2).
var eventSeparator = []byte("\n\n")

var errEventTooLarge = errors.New("an event exceeds 1 MiB: raise the bound or send smaller events")

// deliverStream delivers events as they come. Only whole events go on: an upstream
// that stops in the middle of one must not leave half of it with the caller.
func (y *Relay) deliverStream(ctx context.Context, w http.ResponseWriter, x *exchange, host Host, response *http.Response) attemptOutcome {
	gen := y.generations.add(ctx, x, host)
	defer y.generations.remove(gen)
	reader := eventReader{
		source: response.Body,
	}
	events, err := reader.next()
	if err != nil && !errors.Is(err, io.EOF) {
		return y.streamInterrupted(ctx, x, gen, err)
	}
	y.countPromptRead(x, host)
	y.spec.Load.Well(y.spec.Clock.Now(), host.Name)
	x.firstAfterResume = x.resumed
	// The places of an earlier move are over: its copies were used or are gone.
	x.resumePoints = nil
	y.writeHeader(w, x, response)
	for err == nil {
		if err = y.deliverEvents(w, x, events); err != nil {
			y.abort(x, err)
		}
		now := y.spec.Clock.Now()
		if x.lastEventAt > 0 {
			y.recordPause(x, host, now)
		}
		x.lastEventAt = now
		if perToken, ok := gen.recordEvents(now, int64(bytes.Count(events, eventSeparator))); ok {
			y.spec.Load.Paced(now, host.Name, perToken)
		}
		events, err = reader.next()
	}
	if !errors.Is(err, io.EOF) {
		return y.streamInterrupted(ctx, x, gen, err)
	}
	if len(events) > 0 {
		// The end of a stream need not be followed by an empty line.
		if err := y.deliverEvents(w, x, events); err != nil {
			y.abort(x, err)
		}
	}
	x.clearWriteDeadline()
	y.recordAnswered(x)
	y.recordTokenTime(gen)
	y.recordAnswer(x, response.StatusCode)
	return delivered
}

// recordTokenTime notes the time that a token of a whole stream took, µs. It counts from
// where its upstream's part began.
func (y *Relay) recordTokenTime(r *generation) {
	tokens := int64(r.tokensPerEvent()) * r.eventCount.Load()
	if elapsed := int64(y.spec.Clock.Now()) - r.firstEventAt.Load(); tokens > 0 && elapsed > 0 {
		y.spec.Metrics.Histogram("relay.token.us").Update(1000 * elapsed / tokens)
	}
}

// writeHeader writes a stream's header, once: a generation that goes on elsewhere
// keeps the header and signature of its first upstream.
func (y *Relay) writeHeader(w http.ResponseWriter, x *exchange, response *http.Response) {
	if x.headerSent {
		return
	}
	x.headerSent = true
	x.streaming.Store(true)
	copyHeader(w.Header(), response.Header)
	w.Header().Del("Content-Length")
	w.WriteHeader(response.StatusCode)
	y.spec.Metrics.Histogram("relay.first").Update(int64(y.elapsed(x)))
}

// recordPause notes a recordPause between two events that is longer than the route's callers
// expect, and whether the generation had just come from another upstream.
func (y *Relay) recordPause(x *exchange, host Host, now mgclock.Millis) {
	pause := now - x.lastEventAt
	moved := x.firstAfterResume
	x.lastEventAt = now
	x.firstAfterResume = false
	gap := x.call.Route.Gap()
	if gap == 0 || pause <= gap {
		return
	}
	y.spec.Metrics.Counter("relay.stalls").Inc(1)
	y.spec.Metrics.Histogram("relay.stall.ms").Update(int64(pause))
	y.spec.Log.Info("a stream paused", append(y.logBasis(),
		mglog.Request, x.id, mglog.Route, x.call.Route.Name(), mglog.Upstream, host.Name,
		"ms", int64(pause), "moved", moved, "attempts", x.attempts)...)
}

// streamInterrupted notes a stream that broke off, and where the generation can go on.
func (y *Relay) streamInterrupted(ctx context.Context, x *exchange, gen *generation, cause error) attemptOutcome {
	if ctx.Err() == nil && !y.generations.isClaimed(gen) {
		y.recordBrokenAttempt(x, gen.host, partialAnswer{
			headerReceived: true,
			eventCount:     gen.eventCount.Load(),
			firstEventAt:   mgclock.Millis(gen.firstEventAt.Load()),
		})
	}
	x.resumePoints = append(gen.awaitMove(y.spec.Clock), x.resumePoints...)
	x.problem = mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
		"the stream broke off", "send the request again if it may run twice").WithCause(cause)
	return interrupted
}

// deliverEvents writes events.
func (y *Relay) deliverEvents(w http.ResponseWriter, x *exchange, events []byte) error {
	if x.resumed {
		missing, err := x.sequence.undelivered(events)
		if err != nil {
			return err
		}
		events = missing
	} else {
		x.sequence.record(events)
	}
	if len(events) == 0 {
		return nil
	}
	if _, err := w.Write(events); err != nil {
		return err
	}
	return x.control.Flush()
}

// eventReader splits a stream into events.
type eventReader struct {
	source   io.Reader
	buffer   []byte // read and not yet returned
	consumed int    // bytes of kept that were returned
	chunk    [4096]byte
}

// next returns the next whole events with what ends them: as many as have
// arrived. At the end it returns what is left, with io.EOF.
func (e *eventReader) next() ([]byte, error) {
	e.buffer = append(e.buffer[:0], e.buffer[e.consumed:]...)
	e.consumed = 0
	for {
		if end := bytes.LastIndex(e.buffer, eventSeparator); end >= 0 {
			e.consumed = end + len(eventSeparator)
			return e.buffer[:e.consumed], nil
		}
		if len(e.buffer) > maxEventBytes {
			return nil, errEventTooLarge
		}
		n, err := e.source.Read(e.chunk[:])
		e.buffer = append(e.buffer, e.chunk[:n]...)
		if err != nil && n == 0 {
			e.consumed = len(e.buffer)
			return e.buffer, err
		}
	}
}
