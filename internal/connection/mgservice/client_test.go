package mgservice_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgservice"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a write that runs twice because its caller repeats it after a
// wrong NotSent. A failure after a connection was established must be Unknown, only
// one before is NotSent, and the client never repeats the call by itself.
func TestFailureKindContradictsService(t *testing.T) {
	cutConnection := func(w http.ResponseWriter) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}
	cases := []struct {
		name        string
		answer      http.HandlerFunc
		isCancelled bool
		kind        mgservice.Kind
		runs        int64
	}{
		{
			name:        "nobody listens",
			kind:        mgservice.NotSent,
			isCancelled: false,
		},
		{
			name:        "the caller cancelled it before it was sent",
			answer:      func(http.ResponseWriter, *http.Request) {},
			isCancelled: true,
			kind:        mgservice.NotSent,
		},
		{
			name: "the connection breaks before the body was read",
			answer: func(w http.ResponseWriter, _ *http.Request) {
				cutConnection(w)
			},
			kind: mgservice.Unknown,
			runs: 1,
		},
		{
			name: "the reply is truncated",
			answer: func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(w, "book")
				cutConnection(w)
			},
			kind: mgservice.Unknown,
			runs: 1,
		},
		{
			name: "the reply is larger than the limit",
			answer: func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, 1<<20+1))
			},
			kind: mgservice.Unknown,
			runs: 1,
		},
		{
			name: "the service redirects it, which would run it twice",
			answer: func(w http.ResponseWriter, r *http.Request) {
				http.Redirect(w, r, "/tickets", http.StatusTemporaryRedirect)
			},
			runs: 1,
		},
	}
	Convey("The kind of failure is right when", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var runs atomic.Int64
				base := "http://" + refusingAddr(t)
				if c.answer != nil {
					s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						runs.Add(1)
						c.answer(w, r)
					}))
					defer s.Close()
					base = s.URL
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if c.isCancelled {
					cancel()
				}
				_, err := mgservice.NewHTTP(base, nil).Call(ctx, mgservice.CallSpec{
					Method:    http.MethodPost,
					Path:      "/tickets",
					Body:      []byte(`{"barrels":1}`),
					Operation: "ticket-1",
				})
				if c.kind == "" {
					So(err, ShouldBeNil)
				} else {
					So(err, ShouldNotBeNil)
					So(mgservice.KindOf(err), ShouldEqual, c.kind)
				}
				So(runs.Load(), ShouldEqual, c.runs)
			})
		}
	})
}

// refusingAddr returns an address without a listener.
func refusingAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against a write that net/http runs twice: when a reused connection breaks
// before the reply, net/http takes an Idempotency-Key as permission to repeat the
// request on another connection, although the service may not know such keys.
func TestPooledConnectionRepeatsCall(t *testing.T) {
	cases := []struct {
		name   string
		client *http.Client
		runs   int64
	}{
		{
			name: "a connection for each call: one run",
			runs: 1,
		},
		{
			name: "pooled connections, the broken variant: two runs",
			client: &http.Client{
				Transport: &http.Transport{},
			},
			runs: 2,
		},
	}
	Convey("A booking whose reply is lost with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var runs atomic.Int64
				s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					if r.Header.Get("Idempotency-Key") == "ticket-2" {
						runs.Add(1)
						panic(http.ErrAbortHandler)
					}
				}))
				defer s.Close()
				client := mgservice.NewHTTP(s.URL, c.client)
				spec := mgservice.CallSpec{
					Method:    http.MethodPost,
					Path:      "/tickets",
					Body:      []byte("{}"),
					Operation: "ticket-1",
				}
				_, err := client.Call(context.Background(), spec)
				So(err, ShouldBeNil)
				spec.Operation = "ticket-2"
				_, err = client.Call(context.Background(), spec)
				So(mgservice.KindOf(err), ShouldEqual, mgservice.Unknown)
				So(runs.Load(), ShouldEqual, c.runs)
			})
		}
	})
}

// Guards against a reply without a length that its service broke off as it ended, and that looks
// whole.
func TestReplyOfEndedServiceLooksWhole(t *testing.T) {
	Convey("A reply with neither a length nor chunks", t, func() {
		for _, ends := range []bool{false, true} {
			var s *httptest.Server
			s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Transfer-Encoding", "identity") // no chunks
				_, _ = io.WriteString(w, "booked as ticket 7")
				if ends {
					_ = s.Listener.Close()
				}
			}))
			reply, err := mgservice.NewHTTP(s.URL, nil).Call(context.Background(), mgservice.CallSpec{
				Method: http.MethodPost,
				Path:   "/tickets",
			})
			s.Close()
			if ends {
				So(mgservice.KindOf(err), ShouldEqual, mgservice.Unknown)
				So(err, ShouldNotBeNil)
				continue
			}
			So(err, ShouldBeNil)
			So(string(reply.Body), ShouldEqual, "booked as ticket 7")
		}
	})
}
