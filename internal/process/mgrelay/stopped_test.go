package mgrelay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// writeEvents writes the events after the one that a request names, up to last, in chunks or, with
// byClose, without a framing. It returns the function that ends the stream.
func writeEvents(w http.ResponseWriter, r *http.Request, framing bodyFraming, last int) (end func(isWhole bool)) {
	first := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
	var events strings.Builder
	for n := first + 1; n <= last; n++ {
		events.WriteString(eventText(n))
	}
	if framing == byChunks {
		_, _ = io.WriteString(w, events.String())
		_ = http.NewResponseController(w).Flush()
		return func(isWhole bool) {
			if !isWhole {
				panic(http.ErrAbortHandler)
			}
		}
	}
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return func(bool) {}
	}
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffer)
	_, _ = buffer.WriteString("\r\n" + events.String())
	_ = buffer.Flush()
	return func(bool) { _ = conn.Close() }
}

// stoppedScenario is a moveScenario whose source keeps the memory of a run that it has stopped.
type stoppedScenario struct {
	*moveScenario
	framing bodyFraming
	ends    bool // the run ends by itself when its source is asked to stop it
	keeps   bool // the source continues the run that it has stopped
}

// source produces three events until it is stopped, or all six if the run ends by itself.
func (s *stoppedScenario) source(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Copy") != "" {
		if !s.keeps {
			refuseWith(http.StatusServiceUnavailable)(w, r)
			return
		}
		writeEvents(w, r, s.framing, 6)(true)
		return
	}
	last := 3
	if s.ends {
		last = 6
	}
	end := writeEvents(w, r, s.framing, last)
	s.leave()
	select {
	case <-s.breakOff:
	case <-r.Context().Done():
	}
	end(s.ends)
}

// destination continues a run from its copy.
func (s *stoppedScenario) destination(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Copy") == "" {
		refuseWith(http.StatusServiceUnavailable)(w, r)
		return
	}
	writeEvents(w, r, s.framing, 6)(true)
}

// closeInHead closes the connection inside the head of the answer.
func closeInHead(w http.ResponseWriter, r *http.Request) {
	rawBytes("HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSigna")(w, r)
}

// Guards against a stream that the relay has ordered its upstream to stop and that is passed on as whole,
// or broken off although the upstream keeps the run.
func TestStoppedStreamEndsAsComplete(t *testing.T) {
	handle := func(outcome mgmigration.Outcome, name string) mgmigration.Reply {
		return mgmigration.Reply{
			Outcome: outcome,
			Handle:  name,
		}
	}
	cases := []struct {
		name     string
		stop     mgmigration.Reply // the reply to the order to stop the run
		delay    mgclock.Millis    // of that reply
		ends     bool              // the run has ended by itself before
		loses    bool              // the source doesn't keep the run
		at       upstreamHandler   // the destination, nil for one that continues the run
		whole    bool
		requests int // that reach upstreams
	}{
		{
			name:     "the copy is used",
			stop:     handle(mgmigration.Copied, "h2"),
			whole:    true,
			requests: 2,
		},
		{
			name:     "the copy takes three seconds",
			stop:     handle(mgmigration.Copied, "h2"),
			delay:    3 * mgclock.Second,
			whole:    true,
			requests: 2,
		},
		{
			name:     "there is no room for the copy",
			stop:     handle(mgmigration.NoCapacity, "h2"),
			whole:    true,
			requests: 2,
		},
		{
			name:     "there is no room for the copy, and no handle",
			stop:     handle(mgmigration.NoCapacity, ""),
			whole:    true,
			requests: 2,
		},
		{
			name:     "the destination refuses the copy",
			stop:     handle(mgmigration.Copied, "h2"),
			at:       refuseWith(http.StatusServiceUnavailable),
			whole:    true,
			requests: 3,
		},
		{
			name:     "the destination closes inside the head of its answer",
			stop:     handle(mgmigration.Copied, "h2"),
			at:       closeInHead,
			whole:    true,
			requests: 3,
		},
		{
			name:     "the reply to the order is lost",
			stop:     handle(mgmigration.Lost, ""),
			whole:    true,
			requests: 2,
		},
		{
			name:     "the reply to the order is lost, and so is the copy",
			stop:     handle(mgmigration.Lost, ""),
			at:       refuseWith(http.StatusServiceUnavailable),
			requests: 2,
		},
		{
			name:     "no upstream continues it",
			stop:     handle(mgmigration.Copied, "h2"),
			at:       refuseWith(http.StatusServiceUnavailable),
			loses:    true,
			requests: 3,
		},
		{
			name:     "the run had ended before",
			stop:     handle(mgmigration.Absent, ""),
			ends:     true,
			whole:    true,
			requests: 1,
		},
		{
			name:     "another order was in progress, and the run ends by itself",
			stop:     handle(mgmigration.Busy, ""),
			ends:     true,
			whole:    true,
			requests: 1,
		},
	}
	for _, framing := range []bodyFraming{byChunks, byClose} {
		Convey("A stream with "+string(framing)+" that is ordered to stop, when", t, func() {
			for _, c := range cases {
				Convey(c.name, func() {
					s := &stoppedScenario{
						framing: framing,
						ends:    c.ends,
						keeps:   !c.loses,
						moveScenario: &moveScenario{
							changed:  make(chan struct{}),
							breakOff: make(chan struct{}),
						},
					}
					at := c.at
					if at == nil {
						at = s.destination
					}
					s.harness = newHarness(t, s.source, at)
					var clock mgclock.Manual
					s.reply = func(order mgrelay.MoveOrder) mgmigration.Reply {
						if !order.Stop {
							return handle(mgmigration.Copied, "h1")
						}
						close(s.breakOff)
						for end := clock.Now() + c.delay; clock.Now() < end; clock.Advance(5) {
							mgclock.Yield()
						}
						return c.stop
					}
					s.harness.startRelay(func(spec *mgrelay.Spec) {
						s.configure(spec)
						spec.Clock = clock.Clock()
						spec.RefusesConnections = connectionsAccepted
					})
					got := s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
					So(got.status, ShouldEqual, http.StatusOK)
					So(got.cut, ShouldEqual, !c.whole)
					if c.whole {
						So(got.body, ShouldEqual, wholeStream())
					}
					So(strings.HasPrefix(wholeStream(), got.body), ShouldBeTrue)
					So(len(s.harness.requests()), ShouldEqual, c.requests)
				})
			}
		})
	}
}

// Guards against an upstream's own failure that is replaced because it comes at the deadline.
func TestFailureAtDeadlineReplaced(t *testing.T) {
	Convey("An upstream's own answer that the time is over is passed on", t, func() {
		var clock mgclock.Manual
		g := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
			clock.Advance(4 * mgclock.Second)
			w.WriteHeader(http.StatusGatewayTimeout)
			_, _ = io.WriteString(w, "the time is over")
		})
		g.startRelay(func(spec *mgrelay.Spec) { spec.Clock = clock.Clock() })
		got := g.send(context.Background(), http.MethodPost, "/once/1", "x", http.Header{
			"Deadline": {"4000"},
		})
		So(got.status, ShouldEqual, http.StatusGatewayTimeout)
		So(got.header.Get("Signature"), ShouldEqual, "signed by a")
		So(got.body, ShouldEqual, "the time is over")
	})
}

// Guards against an answer without a framing that its upstream has ended at the request's deadline, and that
// is passed on as whole by a process that runs late.
func TestAnswerEndedAtDeadlineLooksWhole(t *testing.T) {
	const timeout = 4 * mgclock.Second
	for _, c := range []struct {
		name    string
		path    string
		framing bodyFraming
		at      mgclock.Millis // when the answer ends
		status  int
		cut     bool
	}{
		{
			name:    "a stream before the deadline is whole",
			path:    "/write/1",
			framing: byClose,
			at:      timeout - 1,
			status:  http.StatusOK,
		},
		{
			name:    "a stream at the deadline is cut",
			path:    "/write/1",
			framing: byClose,
			at:      timeout,
			status:  http.StatusOK,
			cut:     true,
		},
		{
			name:    "a stream in chunks at the deadline is whole",
			path:    "/write/1",
			framing: byChunks,
			at:      timeout,
			status:  http.StatusOK,
		},
		{
			name:    "a plain answer before the deadline is whole",
			path:    "/once/1",
			framing: byClose,
			at:      timeout - 1,
			status:  http.StatusOK,
		},
		{
			name:    "a plain answer at the deadline is a failure",
			path:    "/once/1",
			framing: byClose,
			at:      timeout,
			status:  http.StatusGatewayTimeout,
		},
	} {
		Convey("The end of "+c.name, t, func() {
			var clock mgclock.Manual
			g := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
				end := writeEvents(w, r, c.framing, 3)
				clock.Advance(c.at)
				end(true)
			})
			g.startRelay(func(spec *mgrelay.Spec) {
				spec.Clock = clock.Clock()
				spec.RefusesConnections = connectionsAccepted
			})
			got := g.send(context.Background(), http.MethodPost, c.path, "x", http.Header{
				"Deadline": {"4000"},
			})
			So(got.status, ShouldEqual, c.status)
			So(got.cut, ShouldEqual, c.cut)
		})
	}
}
