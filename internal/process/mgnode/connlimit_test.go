package mgnode

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

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
			OnRefused: func() { s.refused.Add(1) },
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

// connect opens a connection. What a caller does on it fails after a second, the time that callers
// allow for one.
func (s *limitedServer) connect() *callerConn {
	conn, err := net.Dial("tcp", s.address)
	So(err, ShouldBeNil)
	So(conn.SetDeadline(time.Now().Add(mgclock.Second.Duration())), ShouldBeNil)
	return &callerConn{
		Conn:   conn,
		reader: bufio.NewReader(conn),
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
// descriptors, and against callers who are kept out by idle connections, or wait to learn of it.
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
		Convey("all at work, a further one is closed unread, and the others are served", func() {
			for _, c := range conns {
				c.send("/wait")
			}
			waitUntilEqual(&s.handled, limit)
			for range 3 {
				further := s.connect()
				further.send("/")
				_, err := further.status()
				So(err, ShouldNotBeNil)
				So(isTimeout(err), ShouldBeFalse)
				So(further.Close(), ShouldBeNil)
			}
			So(s.refused.Load(), ShouldEqual, 3)
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
			further := s.connect()
			defer further.Close()
			further.send("/")
			status, err := further.status()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusNoContent)
			_, err = conns[1].reader.ReadByte()
			So(err, ShouldEqual, io.EOF)
			So(s.refused.Load(), ShouldEqual, 0)
			close(s.release)
		})
		Convey("none of which has a request, one is ended for a further one after a while", func() {
			early := s.connect()
			early.send("/")
			_, err := early.status()
			So(err, ShouldNotBeNil)
			So(early.Close(), ShouldBeNil)
			mgclock.Clock{}.Sleep(t.Context(), firstRequestTime)
			further := s.connect()
			defer further.Close()
			further.send("/")
			status, err := further.status()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusNoContent)
			So(s.refused.Load(), ShouldEqual, 1)
		})
		Convey("all idle, each further one is served in place of the one that is idle longest", func() {
			for _, c := range conns {
				c.send("/")
				_, err := c.status()
				So(err, ShouldBeNil)
				mgclock.Clock{}.Sleep(t.Context(), 5)
			}
			for i := range limit {
				further := s.connect()
				further.send("/")
				status, err := further.status()
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusNoContent)
				_, err = conns[i].reader.ReadByte()
				So(err, ShouldEqual, io.EOF)
				conns = append(conns, further)
				mgclock.Clock{}.Sleep(t.Context(), 5)
			}
			So(s.refused.Load(), ShouldEqual, 0)
		})
	})
}

func waitUntilEqual(count *atomic.Int64, want int64) {
	for count.Load() != want {
		mgclock.Clock{}.Sleep(context.Background(), 1)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
