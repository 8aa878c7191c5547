package mgrelay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

// ending is what is known of an answer's completeness when its bytes have ended.
type ending int

const (
	endsBroken  ending = iota // the upstream broke off
	endsUnknown               // only the connection's end marks the end, and the upstream may have ended
	endsWhole
)

var (
	errInsideEvent  = errors.New("the stream ended inside an event: the upstream broke off")
	errNoEvent      = errors.New("the connection ended before the first event: the upstream broke off")
	errExpired      = errors.New("the connection ended when the time that the upstream was given was over: the answer may be cut")
	errStopped      = errors.New("the connection ended and the upstream was ordered to stop the generation: it isn't complete")
	errUpstreamDown = errors.New("the connection ended and the upstream refuses others: it has ended, and the answer may be cut")
	errRestarted    = errors.New("the connection ended and the upstream may have started again: the answer may be cut")
	errUnknownEnd   = errors.New("the connection ended and the upstream can't be asked: the answer may be cut")
)

// answerEnd is how the body of an upstream's answer ended.
type answerEnd struct {
	withConn   bool  // nothing but the connection's end marks it
	err        error // what ended it; nil or io.EOF for an ordinary end
	stream     *eventReader
	generation *generation   // of a stream
	watch      *processWatch // of the upstream's process
	expired    bool          // the time that the upstream was given was over
}

// endOf returns how the body of an answer to a request has ended just now.
func (y *Relay) endOf(x *exchange, response *http.Response, err error) answerEnd {
	return answerEnd{
		withConn: mgdial.EndsWithConnection(response),
		err:      err,
		watch:    x.watch,
		expired:  y.spec.Headers.Deadline != "" && y.isExpired(x),
	}
}

// isOrdered reports whether the upstream was ordered to stop the answer.
func (e *answerEnd) isOrdered() bool { return e.generation != nil && e.generation.stopOrdered.Load() }

// endingOf decides whether an answer is whole, for every path on which one is delivered. The
// cause is nil if it is. An answer that ends with its connection is broken if its upstream may have
// stopped it by an order of this process or at its deadline, or has ended since: an upstream then closes
// its connections as if their answers were complete.
func (y *Relay) endingOf(ctx context.Context, host Host, end answerEnd) (result ending, cause error) {
	switch {
	case end.err != nil && !errors.Is(end.err, io.EOF):
		return endsBroken, end.err
	case end.stream != nil && end.stream.scanner.inEvent():
		return endsBroken, errInsideEvent
	case !end.withConn:
		return endsWhole, nil
	case end.stream != nil && end.stream.events == 0:
		return endsBroken, errNoEvent
	case end.expired:
		return endsBroken, errExpired
	case end.generation != nil && end.generation.mayBeStopped(y.spec.Clock):
		return endsBroken, errStopped
	}
	return y.endingWithConn(ctx, host, end.watch)
}

// endingWithConn decides whether an answer is whole of which nothing but the connection's end marks
// the end.
func (y *Relay) endingWithConn(ctx context.Context, host Host, watched *processWatch) (result ending, cause error) {
	watch, watchFailed := watched.result()
	now := y.spec.Clock.Now()
	ended, checkErr := y.hasEndedSoon(host)
	// What accepts connections at the address may have been started since. The ends of the process's
	// connections arrive within the time of that check.
	isOpen := watch != nil && watch.IsOpen()
	// The list shows a new incarnation late, so that only the upstream can say which it is. One that
	// has ended the watch, perhaps because it was idle, must do so, and so must one that couldn't be
	// watched before the answer had ended. Upstreams without incarnations take longer to start again
	// than the check.
	mustState := host.IncarnationStart != 0 && (watch != nil || watchFailed)
	switch {
	case ended:
		return endsBroken, errUpstreamDown
	case !y.isListed(host.Name, host.IncarnationStart):
		return endsBroken, errRestarted
	case isOpen:
		return endsWhole, nil
	case !mustState && checkErr != nil:
		return endsUnknown, errUnknownEnd
	}
	start, askErr := y.statedIncarnation(ctx, host)
	if mustState && checkErr == nil && askErr != nil && !errors.Is(askErr, errNoIncarnation) {
		// It accepts connections, so that the answer may only have been late.
		start, askErr = y.statedIncarnation(ctx, host)
	}
	switch {
	case askErr == nil && start == host.IncarnationStart:
		return endsWhole, nil
	case askErr == nil || mustState:
		return endsBroken, errors.Join(errRestarted, askErr)
	case checkErr != nil:
		return endsUnknown, errUnknownEnd
	case y.isIncarnation(ctx, host, now):
		return endsWhole, nil
	case y.isListed(host.Name, host.IncarnationStart):
		return endsUnknown, errUnknownEnd
	default:
		return endsBroken, errRestarted
	}
}

// errNoIncarnation means that an upstream states no incarnation.
var errNoIncarnation = errors.New("mgrelay: the upstream states no incarnation: set Spec.AskIncarnation where it does")

// statedIncarnation returns when an upstream started, as it states itself.
func (y *Relay) statedIncarnation(ctx context.Context, host Host) (start int64, err error) {
	if y.spec.AskIncarnation == nil || host.IncarnationStart == 0 {
		return 0, errNoIncarnation
	}
	timeout := destinationProbeTimeout + waitsPerProbe*y.recentWait()
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return y.spec.AskIncarnation(ctx, host)
}

// hasEndedSoon is hasEnded for a caller that waits: it returns an error after crashCheckTimeout.
func (y *Relay) hasEndedSoon(host Host) (bool, error) {
	type reply struct {
		ended bool
		err   error
	}
	replies := make(chan reply, 1)
	go func() {
		ended, err := y.hasEnded(host)
		replies <- reply{
			ended: ended,
			err:   err,
		}
	}()
	select {
	case r := <-replies:
		return r.ended, r.err
	case <-y.spec.Clock.After(crashCheckTimeout):
		return false, errCrashCheckTimeout
	}
}

// recordEnd records how an answer ended.
func (y *Relay) recordEnd(x *exchange, end answerEnd, result ending) {
	x.endUnknown = result == endsUnknown
	if !end.withConn {
		return
	}
	y.spec.Metrics.Counter("relay.closed").Inc(1)
	if end.isOrdered() {
		y.spec.Metrics.Counter("relay.closed.ordered").Inc(1)
	}
	events, inside := int64(0), false
	if end.stream != nil {
		events, inside = end.stream.events, end.stream.scanner.inEvent()
	}
	y.spec.Log.Info("an answer ended with its connection", mglog.Request, x.id, mglog.Route, x.call.Route.Name(),
		mglog.Service, x.service, mglog.Upstream, x.lastUpstream, "events", events, "inside", inside,
		"ordered", end.isOrdered(), "expired", end.expired, "ending", [...]string{"broken", "unknown", "whole"}[result])
}

// beginBody prepares the header of an answer with a body. The caller's answer states no end that
// the upstream's doesn't state. Where the connection's end marks it, the connection is reset
// unless endBody is called: a process that fails, too, would otherwise end it in the same way.
func (x *exchange) beginBody(header http.Header, upstreamEndsWithConn bool) {
	if upstreamEndsWithConn {
		header.Del("Content-Length")
		header.Set("Transfer-Encoding", "identity") // see http.ResponseWriter: no chunks
	}
	x.endsWithConn = upstreamEndsWithConn || !x.canChunk && header.Get("Content-Length") == ""
	if x.endsWithConn {
		mglistener.ResetOnClose(x.conn, true)
	}
}

// endBody ends an answer that is whole, or of which the caller's answer claims nothing.
func (x *exchange) endBody() {
	if x.endsWithConn {
		_ = x.control.Flush() // a failed write has been reported
		mglistener.ResetOnClose(x.conn, false)
	}
	x.clearWriteDeadline()
}
