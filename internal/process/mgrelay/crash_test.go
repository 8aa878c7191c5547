package mgrelay_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// sendHeaderAndHang answers with a header and then sends nothing.
func sendHeaderAndHang(w http.ResponseWriter, r *http.Request) {
	sendHeader(w)
	<-r.Context().Done()
}

// headerThenHangUp answers with a header and closes the connection.
func headerThenHangUp(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// eventsThenHangUp answers with two events and closes the connection.
func eventsThenHangUp(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("id: 1\n\nid: 2\n\n"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// eventsThenHangUpLate answers with an event, runs for longer than a generation counts as just started,
// and closes the connection.
func eventsThenHangUpLate(w http.ResponseWriter, _ *http.Request) {
	sendEvent(w, "1")
	time.Sleep(mgquarantine.StartWindow.Duration() + 50*time.Millisecond)
	panic(http.ErrAbortHandler)
}

// connectionsRefused reports that each upstream's address refuses connections.
func connectionsRefused(context.Context, string) (bool, error) { return true, nil }

func connectionsAccepted(context.Context, string) (bool, error) { return false, nil }

func connectionsUnknown(context.Context, string) (bool, error) {
	return false, context.DeadlineExceeded
}

// holdLateRequest makes a quarantine hold the request that harness.send sends with this target and
// body, since upstreams ended once they had run it for a time.
func holdLateRequest(q *mgquarantine.Quarantine, ran mgclock.Millis, target, body string) {
	now := mgclock.Clock{}.Now()
	for _, upstream := range []string{"x", "y", "z"} {
		q.RecordCrash(now, mgquarantine.Crash{
			Digest:   mgquarantine.DigestOf("tankline", "tanks.example", target, []byte(body)),
			Upstream: upstream + target,
			Begun:    true,
			Sent:     now,
			Ran:      ran,
		})
	}
}

// holdRequest makes a quarantine hold the request that harness.send sends with this
// target and body.
func holdRequest(q *mgquarantine.Quarantine, target, body string) {
	now := mgclock.Clock{}.Now()
	for _, upstream := range []string{"x", "y", "z"} {
		q.RecordCrash(now, mgquarantine.Crash{
			Digest:   mgquarantine.DigestOf("tankline", "tanks.example", target, []byte(body)),
			Upstream: upstream + target,
			Begun:    true,
			Sent:     now,
		})
	}
}

// Guards against counting a crash against a request without evidence: after a reset,
// an announced stop or a lost link.
func TestCrashCountedWithoutEvidence(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		handler upstreamHandler
		refuses func(context.Context, string) (bool, error)
		asks    func(context.Context, mgrelay.Host) (int64, error) // the upstream for its incarnation
		missing bool                                               // from the list, soon after
		leaving bool
		counts  int
	}{
		{
			name:    "a generation that had just begun at an upstream that has ended",
			path:    "/write/1",
			handler: headerThenHangUp,
			refuses: connectionsRefused,
			counts:  1,
		},
		{
			name:    "a generation that had just produced its first events",
			path:    "/write/1",
			handler: eventsThenHangUp,
			refuses: connectionsRefused,
			counts:  1,
		},
		{
			name:    "a generation that had run for a while",
			path:    "/write/1",
			handler: eventsThenHangUpLate,
			refuses: connectionsRefused,
			counts:  1,
		},
		{
			name:    "a plain call in progress",
			path:    "/book/1",
			handler: hangUp,
			refuses: connectionsRefused,
			counts:  1,
		},
		{
			name:    "a connection reset by a live upstream",
			path:    "/write/1",
			handler: headerThenHangUp,
			refuses: connectionsAccepted,
		},
		{
			name:    "a connection reset by a live upstream that states its incarnation",
			path:    "/write/1",
			handler: headerThenHangUp,
			refuses: connectionsAccepted,
			asks:    func(context.Context, mgrelay.Host) (int64, error) { return 1, nil },
		},
		{
			name:    "an upstream that has started again",
			path:    "/write/1",
			handler: headerThenHangUp,
			refuses: connectionsAccepted,
			asks:    func(context.Context, mgrelay.Host) (int64, error) { return 2, nil },
			counts:  1,
		},
		{
			name:    "an upstream that can't be checked",
			path:    "/write/1",
			handler: headerThenHangUp,
			refuses: connectionsUnknown,
		},
		{
			name:    "an upstream that can't be checked and that the list drops",
			path:    "/write/1",
			handler: headerThenHangUp,
			refuses: connectionsUnknown,
			missing: true,
			counts:  1,
		},
		{
			name:    "a caller that left a silent generation whose upstream the list drops",
			path:    "/write/short",
			handler: sendHeaderAndHang,
			refuses: connectionsUnknown,
			missing: true,
			counts:  1,
		},
		{
			name:    "a caller that left a silent generation at an upstream that lives",
			path:    "/write/short",
			handler: sendHeaderAndHang,
			refuses: connectionsAccepted,
		},
		{
			name:    "an upstream that had reported that it is leaving",
			path:    "/write/1",
			handler: headerThenHangUp,
			refuses: connectionsRefused,
			leaving: true,
		},
		{
			name:    "a refusal",
			path:    "/book/1",
			handler: refuseWith(http.StatusServiceUnavailable),
			refuses: connectionsRefused,
		},
		{
			name:    "a failure of the upstream's own",
			path:    "/book/1",
			handler: failInternally,
			refuses: connectionsRefused,
		},
	}
	Convey("What counts as a crash under a request after", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := newHarness(t, c.handler)
				g.hosts[0].IncarnationStart = 1
				q := mgquarantine.New("life", nil)
				g.startRelay(func(spec *mgrelay.Spec) {
					spec.RefusesConnections = c.refuses
					spec.AskIncarnation = c.asks
					spec.Quarantine = q
					spec.IsLeaving = func(string) bool { return c.leaving }
					spec.IsMissing = func(string) bool { return c.missing }
				})
				ctx := context.Background()
				if strings.HasSuffix(c.path, "short") {
					short, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
					defer cancel()
					ctx = short
				}
				changed := q.Changed()
				g.send(ctx, http.MethodPost, c.path, "x", nil)
				if c.counts > 0 {
					select {
					case <-changed:
					case <-time.After(10 * time.Second):
					}
				}
				So(q.Occurrences(mgquarantine.DigestOf("tankline", "tanks.example", c.path, []byte("x"))), ShouldEqual, c.counts)
			})
		}
		Convey("its caller disconnected", func() {
			began, cancelled := make(chan struct{}), make(chan struct{})
			g := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
				sendHeader(w)
				close(began)
				<-r.Context().Done()
				close(cancelled)
			})
			q := mgquarantine.New("life", nil)
			g.startRelay(func(spec *mgrelay.Spec) {
				spec.RefusesConnections = connectionsRefused
				spec.Quarantine = q
			})
			ctx, disconnect := context.WithCancel(context.Background())
			go func() {
				<-began
				disconnect()
			}()
			g.send(ctx, http.MethodPost, "/write/1", "x", nil)
			<-cancelled
			So(q.HasSuspects(), ShouldBeFalse)
		})
	})
}

func sendHeader(w http.ResponseWriter) {
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
}

// Guards against a request that is tried on a third upstream at once after two
// upstreams have crashed while they ran it.
func TestCrashingRequestRetriedTooOften(t *testing.T) {
	Convey("A request under which an upstream ends", t, func() {
		g := newHarness(t, headerThenHangUp, headerThenHangUp, answerWith("id: 1\n\n"))
		q := mgquarantine.New("life", nil)
		g.startRelay(func(spec *mgrelay.Spec) {
			spec.RefusesConnections = connectionsRefused
			spec.Quarantine = q
		})
		digest := mgquarantine.DigestOf("tankline", "tanks.example", "/note/1", []byte("x"))
		Convey("is tried on one more upstream", func() {
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", nil)
			So(got.status, ShouldEqual, http.StatusBadGateway)
			So(len(g.requests()), ShouldEqual, 2)
			So(q.Occurrences(digest), ShouldEqual, 2)
		})
		Convey("is not retried if another upstream had ended under it before", func() {
			q.RecordCrash(0, mgquarantine.Crash{
				Digest:   digest,
				Upstream: "x",
				Begun:    true,
			})
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", nil)
			So(got.status, ShouldEqual, http.StatusBadGateway)
			So(len(g.requests()), ShouldEqual, 1)
		})
		Convey("has no crashes counted once it is answered elsewhere", func() {
			g.hosts = g.hosts[1:]
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", nil)
			So(got.status, ShouldEqual, http.StatusOK)
			So(q.Occurrences(digest), ShouldEqual, 0)
		})
	})
}

// Guards against a held request that reaches an upstream, and against a caller that
// gets "not run" although its request may have run.
func TestHeldRequestReachesUpstream(t *testing.T) {
	Convey("A request that is held", t, func() {
		q := mgquarantine.New("life", nil)
		Convey("is refused at once, as not run, with Retry-After", func() {
			for _, path := range []string{"/note/1", "/book/1", "/write/1", "/look/1"} {
				g := newHarness(t, answerWith("id: 1\n\n"))
				g.startRelay(func(spec *mgrelay.Spec) { spec.Quarantine = q })
				holdRequest(q, path, "x")
				got := g.send(context.Background(), http.MethodPost, path, "x", nil)
				So(got.status, ShouldEqual, http.StatusServiceUnavailable)
				So(got.body, ShouldContainSubstring, `"quarantined"`)
				So(got.body, ShouldContainSubstring, `"notrun"`)
				So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
				So(g.requests(), ShouldBeEmpty)
				So(g.send(context.Background(), http.MethodPost, path, "another", nil).status, ShouldEqual, http.StatusOK)
			}
		})
		Convey("is given up while it waits for a placement", func() {
			g := newHarness(t, answerWith("id: 1\n\n"))
			waiting := make(chan struct{})
			g.startRelay(func(spec *mgrelay.Spec) {
				spec.Quarantine = q
				spec.AwaitPlacement = func(ctx context.Context, _ string, _ mgwaitlist.Request) (mgwaitlist.Grant, bool) {
					close(waiting)
					<-ctx.Done()
					return mgwaitlist.Grant{}, false
				}
			})
			g.configureModel(tableText)
			go func() {
				<-waiting
				holdRequest(q, "/note/1", "x")
			}()
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", http.Header{"Tokens": {"30,9"}})
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.body, ShouldContainSubstring, `"notrun"`)
			So(g.requests(), ShouldBeEmpty)
		})
		Convey("is cancelled at an upstream that hasn't begun it, and is not reported as not run", func() {
			for _, path := range []string{"/note/1", "/book/1"} {
				cancelled := make(chan struct{})
				g := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
					holdRequest(q, path, "x")
					<-r.Context().Done()
					close(cancelled)
				})
				g.startRelay(func(spec *mgrelay.Spec) { spec.Quarantine = q })
				got := g.send(context.Background(), http.MethodPost, path, "x", nil)
				<-cancelled
				So(got.status, ShouldEqual, http.StatusBadGateway)
				So(got.body, ShouldContainSubstring, `"unknown"`)
			}
		})
		Convey("of which its caller has some events", func() {
			firstByte, held := make(chan struct{}), make(chan struct{})
			go func() {
				<-firstByte
				holdRequest(q, "/note/1", "x")
				close(held)
			}()
			Convey("continues where it runs", func() {
				g := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
					sendEvent(w, "1")
					<-held
					sendEvent(w, "2")
				})
				g.startRelay(func(spec *mgrelay.Spec) { spec.Quarantine = q })
				body, err := g.readStream("/note/1", "x", firstByte)
				So(err, ShouldBeNil)
				So(body, ShouldEqual, "id: 1\n\nid: 2\n\n")
			})
			Convey("is stopped before it ends its upstream in the middle of its answer", func() {
				stopped := make(chan struct{})
				g := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
					sendEvent(w, "1")
					<-held
					holdLateRequest(q, 2*mgclock.Second, "/note/2", "x")
					<-r.Context().Done()
					close(stopped)
				})
				g.startRelay(func(spec *mgrelay.Spec) { spec.Quarantine = q })
				_, err := g.readStream("/note/2", "x", firstByte)
				So(err, ShouldNotBeNil)
				<-stopped
				So(len(g.requests()), ShouldEqual, 1)
			})
			Convey("goes on if it has passed the place at which upstreams ended", func() {
				g := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
					sendEvent(w, "1")
					<-held
					time.Sleep(1500 * time.Millisecond)
					holdLateRequest(q, 400, "/note/3", "x")
					sendEvent(w, "2")
				})
				g.startRelay(func(spec *mgrelay.Spec) { spec.Quarantine = q })
				body, err := g.readStream("/note/3", "x", firstByte)
				So(err, ShouldBeNil)
				So(body, ShouldEqual, "id: 1\n\nid: 2\n\n")
			})
			Convey("is not restarted elsewhere", func() {
				g := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
					sendEvent(w, "1")
					<-held
					panic(http.ErrAbortHandler)
				}, answerWith("id: 2\n\n"))
				g.startRelay(func(spec *mgrelay.Spec) {
					spec.Quarantine = q
					spec.RefusesConnections = connectionsRefused
				})
				_, err := g.readStream("/note/1", "x", firstByte)
				So(err, ShouldNotBeNil)
				So(len(g.requests()), ShouldEqual, 1)
			})
		})
	})
}

func sendEvent(w http.ResponseWriter, id string) {
	_, _ = io.WriteString(w, "id: "+id+"\n\n")
	_ = http.NewResponseController(w).Flush()
}

// readStream reads an answer to its end, and closes firstByte when its first byte
// has arrived.
func (g *harness) readStream(target, body string, firstByte chan<- struct{}) (string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.addr+target, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Host = "tanks.example"
	request.Header.Set("Request-Id", "request-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		return "", err
	}
	close(firstByte)
	rest, err := io.ReadAll(response.Body)
	return string(append(first, rest...)), err
}

// Guards against evidence that an upstream's failure clears, or an answer that may have broken off.
func TestFailureClearsEvidence(t *testing.T) {
	fail := func(status int) upstreamHandler {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
	}
	cases := []struct {
		name          string
		path          string
		handler       upstreamHandler
		requestClears bool
		partClears    bool
	}{
		{
			name:          "a whole stream",
			path:          "/write/1",
			handler:       answerWith("id: 1\n\n"),
			requestClears: true,
			partClears:    true,
		},
		{
			name:    "a stream whose end isn't known",
			path:    "/write/1",
			handler: rawBytes("HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSignature: s\r\n\r\nid: 1\n\n"),
		},
		{
			name:    "a failure in place of a stream",
			path:    "/write/1",
			handler: fail(http.StatusInternalServerError),
		},
		{
			name:    "the end of the upstream's time for a stream",
			path:    "/write/1",
			handler: fail(http.StatusGatewayTimeout),
		},
		{
			name:          "a stream that the upstream rejects",
			path:          "/write/1",
			handler:       fail(http.StatusBadRequest),
			requestClears: true,
		},
		{
			name:          "a reply",
			path:          "/book/1",
			handler:       answerWith("booked"),
			requestClears: true,
			partClears:    true,
		},
		{
			name:          "a reply that there is no such thing",
			path:          "/book/1",
			handler:       fail(http.StatusNotFound),
			requestClears: true,
		},
		{
			name:    "a failure in place of a reply",
			path:    "/book/1",
			handler: failInternally,
		},
	}
	Convey("Evidence against a request and a part of its prompt", t, func() {
		part := mgquarantine.PartDigestOf("ledger", "", "5ha7ed01")
		for _, c := range cases {
			Convey("after "+c.name, func() {
				g := newHarness(t, c.handler)
				q := mgquarantine.New("life", nil)
				g.startRelay(func(spec *mgrelay.Spec) {
					spec.RefusesConnections = connectionsUnknown
					spec.Quarantine = q
				})
				digest := mgquarantine.DigestOf("tankline", "tanks.example", c.path, []byte("x"))
				q.RecordCrash(mgclock.Clock{}.Now(), mgquarantine.Crash{
					Digest:   digest,
					Parts:    []mgquarantine.Digest{part},
					Upstream: "x",
					Begun:    true,
				})
				g.send(context.Background(), http.MethodPost, c.path, "x", http.Header{"Parts": {"5ha7ed01:80,0a:20"}})
				So(q.Occurrences(digest) == 0, ShouldEqual, c.requestClears)
				So(q.Occurrences(part) == 0, ShouldEqual, c.partClears)
			})
		}
	})
}
