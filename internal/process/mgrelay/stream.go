package mgrelay

import (
	"context"
	"net/http"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// deliverStream forwards events as they arrive. It forwards only complete events: if
// an upstream stops in the middle of one, the caller must not receive half of it.
func (y *Relay) deliverStream(ctx context.Context, w http.ResponseWriter, x *exchange, host Host, response *http.Response) attemptOutcome {
	gen := y.generations.add(ctx, y.spec.Clock.Now(), x, host)
	defer y.generations.remove(gen)
	x.generation.Store(gen)
	reader := &eventReader{
		source:  response.Body,
		mayHold: func(bytes int64) bool { return x.claim.TryReserve(int64(len(x.body)) + bytes) },
	}
	data, events, err := reader.next()
	if err != nil {
		if result, cause := y.endStream(ctx, x, gen, response, reader, err); result == endsBroken {
			return y.streamInterrupted(ctx, x, gen, cause)
		}
	}
	if problem := y.beginStream(ctx, w, x, host, response); problem != nil {
		x.problem = problem
		return failed
	}
	for err == nil {
		y.forwardEvents(w, x, gen, data, events)
		if data, events, err = reader.next(); err == nil {
			continue
		}
		result, cause := y.endStream(ctx, x, gen, response, reader, err)
		if result == endsBroken || result == endsUnknown && !x.endsWithConn {
			return y.streamInterrupted(ctx, x, gen, cause)
		}
	}
	if len(data) > 0 {
		// Comments and line ends after the last event.
		if err := y.deliverEvents(w, x, data); err != nil {
			y.abort(x, err)
		}
	}
	x.endBody()
	y.recordQuarantineAnswer(x, response.StatusCode)
	y.recordTokenTime(gen)
	y.countAnswer(x, response.StatusCode)
	return delivered
}

// endStream decides whether a stream that has ended is whole.
func (y *Relay) endStream(ctx context.Context, x *exchange, gen *generation, response *http.Response, reader *eventReader, err error) (ending, error) {
	end := y.endOf(x, response, err)
	end.stream, end.generation = reader, gen
	result, cause := y.endingOf(ctx, gen.host, end)
	y.recordEnd(x, end, result)
	return result, cause
}

// beginStream confirms that a stream may come from an upstream, and writes its header. It returns
// a problem if the upstream's events must not be forwarded.
func (y *Relay) beginStream(ctx context.Context, w http.ResponseWriter, x *exchange, host Host, response *http.Response) *mgproblem.Problem {
	y.countPromptRead(x, host)
	y.recordFirstEvent(x, host)
	y.spec.Load.RecordAnswer(y.spec.Clock.Now(), host.Name)
	if problem := y.confirmOrigin(ctx, x, host); problem != nil {
		return problem
	}
	y.recordProducer(x, host)
	x.firstAfterResume = x.resumed
	// The resume points of an earlier move are void: their copies were used or are
	// gone.
	x.resumePoints, x.lateMove = nil, nil
	y.writeHeader(w, x, response)
	if x.backup != nil && y.spec.Headers.Software == "" {
		go y.confirmBackupSource(ctx, x.backup, y.spec.Clock.Now())
	}
	return nil
}

// forwardEvents writes complete events to the caller and records their times.
func (y *Relay) forwardEvents(w http.ResponseWriter, x *exchange, gen *generation, data []byte, events int) {
	if err := y.deliverEvents(w, x, data); err != nil {
		y.abort(x, err)
	}
	now := y.spec.Clock.Now()
	if x.lastEventAt > 0 {
		y.recordPause(x, gen.host, now)
	}
	x.lastEventAt = now
	if perToken, ok := gen.recordEvents(now, int64(events)); ok {
		y.spec.Load.RecordPace(now, gen.host.Name, perToken)
		y.recordSteps(x, gen, now, events, perToken)
	}
	y.recordProgress(x, gen, now)
}

// recordProducer records that an upstream produces the next events of a stream.
func (y *Relay) recordProducer(x *exchange, host Host) {
	before := x.lastHost
	x.lastHost = host
	switch {
	case before.Name == "":
		y.recordCallerResume(x, host)
	case before.Name != host.Name:
		y.recordContinuation(x, before, host)
	}
}

// recordCallerResume records a stream that its caller resumes after an answer that broke off.
func (y *Relay) recordCallerResume(x *exchange, host Host) {
	if !y.isResumption(x) {
		return
	}
	y.spec.Metrics.Counter("relay.resumed.caller").Inc(1)
	y.spec.Log.Info("a caller resumes a stream", append(y.dataVersionKeys(),
		mglog.Request, x.id, "resumes", x.header.Get(y.spec.Headers.Resumes),
		"last", x.header.Get(y.spec.Headers.LastEventID), mglog.Service, x.service,
		mglog.Upstream, host.Name, "software", host.SoftwareVersion)...)
}

// recordContinuation records a stream that continues at another upstream within one answer.
func (y *Relay) recordContinuation(x *exchange, before, host Host) {
	y.spec.Metrics.Counter("relay.resumed.relay").Inc(1)
	if before.SoftwareVersion != host.SoftwareVersion {
		y.spec.Metrics.Counter("relay.resumed.mixed").Inc(1)
	}
	y.spec.Log.Info("a stream continues at another upstream", append(y.dataVersionKeys(),
		mglog.Request, x.id, mglog.Service, x.service, "from", before.Name, "begun", before.SoftwareVersion,
		mglog.Upstream, host.Name, "software", host.SoftwareVersion, "last", x.sequence.lastID)...)
}

// recordTokenTime records the average time per token of a complete stream in µs,
// measured over the part that the last upstream produced.
func (y *Relay) recordTokenTime(r *generation) {
	tokens := int64(r.tokensPerEvent()) * r.eventCount.Load()
	if elapsed := int64(y.spec.Clock.Now()) - r.firstEventAt.Load(); tokens > 0 && elapsed > 0 {
		y.spec.Metrics.Histogram("relay.token.us").Update(1000 * elapsed / tokens)
	}
}

// writeHeader writes a stream's header, once: a generation that continues at another
// upstream keeps the header and signature of the first one.
func (y *Relay) writeHeader(w http.ResponseWriter, x *exchange, response *http.Response) {
	if x.headerSent {
		return
	}
	x.headerSent = true
	x.streaming.Store(true)
	copyHeader(w.Header(), response.Header)
	w.Header().Del("Content-Length")
	x.beginBody(w.Header(), mgdial.EndsWithConnection(response))
	w.WriteHeader(response.StatusCode)
	y.spec.Metrics.Histogram("relay.first").Update(int64(y.elapsed(x)))
}

// recordPause records a pause between two events that is longer than the route's
// callers expect, and whether the generation had just been resumed at this upstream.
func (y *Relay) recordPause(x *exchange, host Host, now mgclock.Millis) {
	pause := now - x.lastEventAt
	afterResume := x.firstAfterResume
	x.lastEventAt = now
	x.firstAfterResume = false
	gap := x.call.Route.MaxEventInterval()
	if gap == 0 || pause <= gap {
		return
	}
	y.spec.Metrics.Counter("relay.stalls").Inc(1)
	y.spec.Metrics.Histogram("relay.stall.ms").Update(int64(pause))
	y.spec.Log.Info("a stream paused", append(y.dataVersionKeys(),
		mglog.Request, x.id, mglog.Route, x.call.Route.Name(), mglog.Upstream, host.Name,
		"ms", int64(pause), "moved", afterResume, "attempts", x.attempts)...)
}

// streamInterrupted records a stream that broke off, and where the generation can
// continue.
func (y *Relay) streamInterrupted(ctx context.Context, x *exchange, gen *generation, cause error) attemptOutcome {
	partial := partialAnswer{
		headerReceived: true,
		eventCount:     gen.eventCount.Load(),
		firstEventAt:   mgclock.Millis(gen.firstEventAt.Load()),
		lastEventAt:    gen.lastEventAt,
	}
	x.brokeOff, x.ranAtEnd = true, partial.ran(y.spec.Clock.Now())
	switch {
	case y.generations.isClaimed(gen):
	case ctx.Err() == nil && !y.isExpired(x):
		y.recordBrokenAttempt(x, gen.host, partial)
	default:
		y.recordSilentAttempt(x, gen.host, partial)
	}
	x.generated += gen.tokensPerEvent() * int(gen.eventCount.Load())
	move := gen.awaitMove(y.spec.Clock)
	if move.isPending && x.backup != nil {
		x.lateMove = gen
	}
	if len(move.points) == 0 && ctx.Err() == nil && !y.isExpired(x) {
		y.recordLoss(x, gen.host)
	}
	x.resumePoints = slices.Concat(move.points, x.resumePoints)
	x.problem = mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
		"the stream broke off", "send the request again if it may run twice").WithCause(cause)
	return interrupted
}

// deliverEvents writes events to the caller.
func (y *Relay) deliverEvents(w http.ResponseWriter, x *exchange, events []byte) error {
	if x.resumed {
		undelivered, err := x.sequence.takeUndelivered(events)
		if err != nil {
			return err
		}
		events = undelivered
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
