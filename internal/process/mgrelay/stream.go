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

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

// eventEnd separates the events of a stream (HTML Living Standard, 9.2).
var eventEnd = []byte("\n\n")

var errEventLarge = errors.New("an event exceeds 1 MiB: raise the bound or send smaller events")

// stream delivers events as they come. Only whole events go on: an upstream
// that stops in the middle of one must not leave half of it with the caller.
func (y *Relay) stream(ctx context.Context, w http.ResponseWriter, x *exchange, host Host, response *http.Response) ending {
	run := y.runs.add(ctx, x, host)
	defer y.runs.remove(run)
	events := eventReader{
		from: response.Body,
	}
	first, err := events.next()
	if err != nil && !errors.Is(err, io.EOF) {
		return y.severed(ctx, x, run, err)
	}
	y.begunAt(x, host)
	y.spec.Load.Well(y.spec.Clock.Now(), host.Name)
	x.arrived = x.resumed
	// The places of an earlier move are over: its copies were used or are gone.
	x.places = nil
	y.begin(w, x, response)
	for err == nil {
		if err = y.deliver(w, x, first); err != nil {
			y.abort(x, err)
		}
		now := y.spec.Clock.Now()
		if x.heard > 0 {
			y.pause(x, host, now)
		}
		x.heard = now
		if each, ok := run.note(now, int64(bytes.Count(first, eventEnd))); ok {
			y.spec.Load.Paced(now, host.Name, each)
		}
		first, err = events.next()
	}
	if !errors.Is(err, io.EOF) {
		return y.severed(ctx, x, run, err)
	}
	if len(first) > 0 {
		// The end of a stream need not be followed by an empty line.
		if err := y.deliver(w, x, first); err != nil {
			y.abort(x, err)
		}
	}
	x.freeWrites()
	y.answered(x)
	y.tellPace(run)
	y.done(x, response.StatusCode)
	return delivered
}

// tellPace notes the time that a token of a whole stream took, µs. It counts from
// where its upstream's part began.
func (y *Relay) tellPace(r *run) {
	tokens := int64(r.stride()) * r.made.Load()
	if span := int64(y.spec.Clock.Now()) - r.first.Load(); tokens > 0 && span > 0 {
		y.spec.Metrics.Histogram("relay.token.us").Update(1000 * span / tokens)
	}
}

// begin writes a stream's header, once: a generation that goes on elsewhere
// keeps the header and signature of its first upstream.
func (y *Relay) begin(w http.ResponseWriter, x *exchange, response *http.Response) {
	if x.begun {
		return
	}
	x.begun = true
	x.running.Store(true)
	copyHeader(w.Header(), response.Header)
	w.Header().Del("Content-Length")
	w.WriteHeader(response.StatusCode)
	y.spec.Metrics.Histogram("relay.first").Update(int64(y.waited(x)))
}

// pause notes a pause between two events that is longer than the route's callers
// expect, and whether the generation had just come from another upstream.
func (y *Relay) pause(x *exchange, host Host, now mgclock.Millis) {
	span := now - x.heard
	moved := x.arrived
	x.heard = now
	x.arrived = false
	gap := x.call.Route.Gap()
	if gap == 0 || span <= gap {
		return
	}
	y.spec.Metrics.Counter("relay.stalls").Inc(1)
	y.spec.Metrics.Histogram("relay.stall.ms").Update(int64(span))
	y.spec.Log.Info("a stream paused", append(y.basis(),
		mglog.Request, x.id, mglog.Route, x.call.Route.Name(), mglog.Upstream, host.Name,
		"ms", int64(span), "moved", moved, "attempts", x.attempts)...)
}

// severed notes a stream that broke off, and where the generation can go on.
func (y *Relay) severed(ctx context.Context, x *exchange, run *run, cause error) ending {
	if ctx.Err() == nil && !y.runs.moved(run) {
		y.brokeOff(x, run.host, remains{
			begun:  true,
			events: run.made.Load(),
			first:  mgclock.Millis(run.first.Load()),
		})
	}
	x.places = append(run.outcome(y.spec.Clock), x.places...)
	x.problem = mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
		"the stream broke off", "send the request again if it may run twice").WithCause(cause)
	return severed
}

// deliver writes events.
func (y *Relay) deliver(w http.ResponseWriter, x *exchange, events []byte) error {
	if x.resumed {
		lacking, err := x.order.resume(events)
		if err != nil {
			return err
		}
		events = lacking
	} else {
		x.order.deliver(events)
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
	from  io.Reader
	kept  []byte // read and not yet returned
	taken int    // bytes of kept that were returned
	chunk [4096]byte
}

// next returns the next whole events with what ends them: as many as have
// arrived. At the end it returns what is left, with io.EOF.
func (e *eventReader) next() ([]byte, error) {
	e.kept = append(e.kept[:0], e.kept[e.taken:]...)
	e.taken = 0
	for {
		if end := bytes.LastIndex(e.kept, eventEnd); end >= 0 {
			e.taken = end + len(eventEnd)
			return e.kept[:e.taken], nil
		}
		if len(e.kept) > maxEvent {
			return nil, errEventLarge
		}
		n, err := e.from.Read(e.chunk[:])
		e.kept = append(e.kept, e.chunk[:n]...)
		if err != nil && n == 0 {
			e.taken = len(e.kept)
			return e.kept, err
		}
	}
}
