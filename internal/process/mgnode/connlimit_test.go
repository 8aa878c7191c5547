package mgnode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// limitedServer serves up to a number of connections. Requests for /wait wait until release.
type limitedServer struct {
	address string
	release chan struct{}
	handled atomic.Int64
	refused atomic.Int64
}

func startLimitedServer(t *testing.T, limit int) *limitedServer {
	t.Helper()
	listener, err := mglistener.Listen("127.0.0.1:0", nil)
	So(err, ShouldBeNil)
	s := &limitedServer{
		address: listener.Addr().String(),
		release: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		Serve(ctx, ctx, logr.Discard(), ServerSpec{
			Name:     "callers",
			Listener: listener,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				s.handled.Add(1)
				if r.URL.Path == "/wait" {
					<-s.release
				}
				w.WriteHeader(http.StatusNoContent)
			}),
			MaxConns:  limit,
			OnRefused: func(count int) { s.refused.Add(1) },
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

// connect opens a connection.
func (s *limitedServer) connect() *callerConn {
	conn, err := net.Dial("tcp", s.address)
	So(err, ShouldBeNil)
	return &callerConn{
		Conn:   conn,
		reader: bufio.NewReader(conn),
	}
}

// connectServed opens connections until one is served, and returns that one.
func (s *limitedServer) connectServed() *callerConn {
	for {
		c := s.connect()
		c.send("/")
		if status, err := c.status(); err == nil {
			So(status, ShouldEqual, http.StatusNoContent)
			return c
		}
		So(c.Close(), ShouldBeNil)
		mgclock.Clock{}.Sleep(context.Background(), 10)
	}
}

// send sends a request. The server may have closed the connection.
func (c *callerConn) send(path string) {
	_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: entry\r\n\r\n")
}

// status returns the status of an answer, or the error in its place.
func (c *callerConn) status() (int, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// Guards against a process that holds as many connections as come until it runs out of memory or
// descriptors, and against callers who are kept out by idle connections.
func TestConnectionsUnlimited(t *testing.T) {
	const limit = 4
	Convey("With as many connections as a listener may have", t, func() {
		s := startLimitedServer(t, limit)
		var conns []*callerConn
		for range limit {
			conns = append(conns, s.connect())
		}
		defer func() {
			for _, c := range conns {
				_ = c.Close()
			}
		}()
		Convey("all at work, further ones are closed unread, and the others are served", func() {
			for _, c := range conns {
				c.send("/wait")
			}
			waitUntilEqual(&s.handled, limit)
			for range 3 {
				further := s.connect()
				further.send("/")
				_, err := further.status()
				So(err, ShouldNotBeNil)
				So(further.Close(), ShouldBeNil)
			}
			waitUntilEqual(&s.refused, 3)
			close(s.release)
			for _, c := range conns {
				status, err := c.status()
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusNoContent)
			}
			So(s.handled.Load(), ShouldEqual, limit)
		})
		Convey("one of them idle, that one is ended for a further one", func() {
			conns[1].send("/")
			_, err := conns[1].status()
			So(err, ShouldBeNil)
			for _, i := range []int{0, 2, 3} {
				conns[i].send("/wait")
			}
			waitUntilEqual(&s.handled, limit)
			further := s.connectServed()
			defer further.Close()
			_, err = conns[1].reader.ReadByte()
			So(err, ShouldEqual, io.EOF)
			close(s.release)
			for _, i := range []int{0, 2, 3} {
				status, err := conns[i].status()
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusNoContent)
			}
		})
		Convey("none of which has a request, a further one is served after a while", func() {
			So(s.connectServed().Close(), ShouldBeNil)
		})
	})
}

// Guards against new connections that are ended before their first request, and against an order in
// which connections that were used a moment ago are ended first.
func TestUsedConnectionEndedFirst(t *testing.T) {
	Convey("A listener with as many connections as it may have", t, func() {
		var conns connTracker
		open := []net.Conn{&net.TCPConn{}, &net.TCPConn{}, &net.TCPConn{}}
		for _, conn := range open {
			conns.stateChanged(conn, http.StateNew)
		}
		evicted := func() (indexes []int) {
			for i, conn := range open {
				if conns.open[conn].evicted {
					indexes = append(indexes, i)
				}
			}
			return indexes
		}
		Convey("ends none that has just been opened", func() {
			So(conns.makeRoom(len(open)), ShouldBeFalse)
			So(evicted(), ShouldBeEmpty)
			So(conns.makeRoom(len(open)+1), ShouldBeTrue)
		})
		Convey("ends one that has sent no request for a while", func() {
			conns.open[open[2]].idleSince -= firstRequestTime
			So(conns.makeRoom(len(open)), ShouldBeTrue)
			So(evicted(), ShouldResemble, []int{2})
		})
		Convey("ends those first that have been idle for longest, each once, and none at work", func() {
			conns.stateChanged(open[0], http.StateActive)
			conns.stateChanged(open[1], http.StateIdle)
			conns.stateChanged(open[2], http.StateIdle)
			conns.open[open[2]].idleSince -= 5
			So(conns.makeRoom(len(open)), ShouldBeTrue)
			So(evicted(), ShouldResemble, []int{2})
			So(conns.makeRoom(len(open)), ShouldBeTrue) // the ended one doesn't count
			So(evicted(), ShouldResemble, []int{2})
			So(conns.makeRoom(len(open)-1), ShouldBeTrue)
			So(evicted(), ShouldResemble, []int{1, 2})
			So(conns.makeRoom(len(open)-2), ShouldBeFalse)
		})
		Convey("keeps one that was used again after all", func() {
			conns.stateChanged(open[1], http.StateIdle)
			So(conns.makeRoom(len(open)), ShouldBeTrue)
			conns.stateChanged(open[1], http.StateActive)
			So(evicted(), ShouldBeEmpty)
			So(conns.makeRoom(len(open)), ShouldBeFalse)
		})
	})
}

func waitUntilEqual(count *atomic.Int64, want int64) {
	for count.Load() != want {
		mgclock.Clock{}.Sleep(context.Background(), 1)
	}
}

// Guards against kept connections that go on to overload a process, and against those that a calm one ends.
func TestKeptConnectionOverloadsProcessOrIsEnded(t *testing.T) {
	for _, overloaded := range []bool{true, false} {
		Convey(fmt.Sprintf("A process, overloaded: %t", overloaded), t, func() {
			handler := endConnections(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusNoContent)
			}), func() bool { return overloaded })
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
			So(recorder.Code, ShouldEqual, http.StatusNoContent)
			So(recorder.Header().Get("Connection") == "close", ShouldEqual, overloaded)
		})
	}
}
