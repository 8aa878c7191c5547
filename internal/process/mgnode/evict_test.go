package mgnode

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbody"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// startBudgetedServer serves requests, whose bodies it reads, within a budget, and returns its address.
func startBudgetedServer(t *testing.T, spec ServerSpec) string {
	t.Helper()
	listener, err := mglistener.Listen("127.0.0.1:0", nil)
	So(err, ShouldBeNil)
	spec.Name, spec.Listener = "callers", listener
	spec.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := mgbody.ReadAll(r); err != nil {
			w.Header().Set("Connection", "close")
			mgproblem.Write(w, mgbody.Problem(err))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		Serve(ctx, ctx, logr.Discard(), spec)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String()
}

// Guards against callers that are kept out by requests that never end.
func TestPlacesTakenByUnfinishedRequests(t *testing.T) {
	const (
		limit = 4
		whole = "GET / HTTP/1.1\r\nHost: entry\r\n\r\n"
	)
	for name, begin := range map[string]string{
		"a head without an end":            "GET / HTTP/1.1\r\nHost: entry\r\n",
		"a body that is a byte short":      "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 10\r\n\r\n123456789",
		"a chunk that is a byte short":     "POST / HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n123",
		"an empty line after a request":    whole + "\r\n",
		"a part of a head after a request": whole + "GET / HT",
	} {
		Convey("With as many connections as a listener may have, each with "+name, t, func() {
			s := &limitedServer{
				address: startBudgetedServer(t, ServerSpec{
					MaxConns: limit,
				}),
			}
			for range 2*limit + minEvicted {
				c := s.connect()
				defer c.Close()
				_, err := io.WriteString(c, begin)
				So(err, ShouldBeNil)
			}
			So(s.connectServed().Close(), ShouldBeNil)
		})
	}
}

// Guards against a connection that counts as ended after bytes that crossed its end have withdrawn that: it
// would keep its place until its time is over.
func TestConnectionCountsAsEndedAfterItsEndWasWithdrawn(t *testing.T) {
	Convey("A connection whose next request crosses its end", t, func() {
		listener, err := mglistener.Listen("127.0.0.1:0", nil)
		So(err, ShouldBeNil)
		defer listener.Close()
		caller, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer caller.Close()
		accepted, err := listener.Accept()
		So(err, ShouldBeNil)
		defer accepted.Close()
		var conns connTracker
		conns.stateChanged(accepted, http.StateNew)
		conns.stateChanged(accepted, http.StateIdle)
		_, err = io.WriteString(caller, "\r\n")
		So(err, ShouldBeNil)
		So(conns.makeRoom(1), ShouldBeTrue)
		So(conns.open[accepted].isEvicted(accepted), ShouldBeTrue)
		_, err = accepted.Read(make([]byte, 4))
		So(err, ShouldBeNil)
		So(conns.open[accepted].isEvicted(accepted), ShouldBeFalse)
		mgclock.Clock{}.Sleep(t.Context(), receivingTime)
		So(conns.makeRoom(1), ShouldBeTrue)
		So(conns.open[accepted].isEvicted(accepted), ShouldBeTrue)
	})
}

// Guards against a listener that ends none of its connections, since more are open than it may have.
func TestListenerBeyondLimitEndsNone(t *testing.T) {
	Convey("A listener with as many connections as it may have and those that it ended", t, func() {
		var conns connTracker
		for range 1 + minEvicted {
			conns.stateChanged(&net.TCPConn{}, http.StateIdle)
		}
		evicted := func() (count int) {
			for _, tracked := range conns.open {
				if tracked.evicted {
					count++
				}
			}
			return count
		}
		Convey("accepts no other one, and ends one more each time", func() {
			So(conns.makeRoom(1), ShouldBeFalse)
			So(evicted(), ShouldEqual, 1)
			So(conns.makeRoom(1), ShouldBeFalse)
			So(evicted(), ShouldEqual, 2)
		})
	})
}

// Guards against an exhausted budget that refuses a request while another caller's never ends, and against
// an untrue refusal.
func TestBudgetHeldByUnfinishedBody(t *testing.T) {
	const body = 400
	Convey("A listener whose budget bears one large body", t, func() {
		evicted := 0
		budget := mgbudget.New(1000)
		s := &limitedServer{
			address: startBudgetedServer(t, ServerSpec{
				Budget:    budget,
				ConnBytes: 100,
				OnEvicted: func() { evicted++ },
			}),
		}
		head := "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 600\r\n\r\n"
		unfinished := s.connect()
		defer unfinished.Close()
		_, err := io.WriteString(unfinished, head+string(make([]byte, body)))
		So(err, ShouldBeNil)
		for budget.State().Held < 600 {
			mgclock.Clock{}.Sleep(t.Context(), 1)
		}
		send := func() (int, error) {
			c := s.connect()
			defer c.Close()
			_, err := io.WriteString(c, head+string(make([]byte, 600)))
			So(err, ShouldBeNil)
			return c.status()
		}
		Convey("refuses another one at once, and serves it when the first has had its time", func() {
			status, err := send()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(s.connectServed().Close(), ShouldBeNil) // a small request needs no more than its connection
			mgclock.Clock{}.Sleep(t.Context(), receivingTime)
			status, err = send()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusNoContent)
			status, err = unfinished.status()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(evicted, ShouldEqual, 1)
			for budget.State().Held > 0 {
				mgclock.Clock{}.Sleep(t.Context(), 1)
			}
		})
	})
}
