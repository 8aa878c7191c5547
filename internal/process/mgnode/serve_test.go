package mgnode

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/go-logr/logr/funcr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// testServer is a listener under test.
type testServer struct {
	address     string
	stop        context.CancelFunc
	done        chan struct{}
	lastLogLine atomic.Pointer[string] // the last line of the log
}

// startServer serves a handler that responds 204 until the server's stop is called.
func startServer(t *testing.T) *testServer {
	t.Helper()
	listener, err := mglistener.Listen("127.0.0.1:0", nil)
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	s := &testServer{
		address: listener.Addr().String(),
		stop:    cancel,
		done:    make(chan struct{}),
	}
	log := funcr.New(func(_, args string) { s.lastLogLine.Store(&args) }, funcr.Options{})
	go func() {
		defer close(s.done)
		Serve(ctx, context.Background(), log, ServerSpec{
			Name:     "callers",
			Listener: listener,
			Handler:  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
			Linger:   func() mgclock.Millis { return 5 * mgclock.Second },
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-s.done
	})
	return s
}

// Guards against a late request that is dropped: the first request of a connection that was
// accepted before a stop may arrive after the stop has begun. It must get a response.
func TestStopDropsLateRequest(t *testing.T) {
	Convey("A listener that stops", t, func() {
		s := startServer(t)
		open := func() (net.Conn, *bufio.Reader) {
			conn, err := net.Dial("tcp", s.address)
			So(err, ShouldBeNil)
			return conn, bufio.NewReader(conn)
		}
		// ask sends a request and returns the status of its response and whether the
		// connection can be used again.
		ask := func(conn net.Conn, r *bufio.Reader) (int, bool) {
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
			So(err, ShouldBeNil)
			response, err := http.ReadResponse(r, nil)
			So(err, ShouldBeNil)
			return response.StatusCode, !response.Close
		}
		unused, unusedReader := open()
		defer unused.Close()
		keepAlive, keepAliveReader := open()
		defer keepAlive.Close()
		code, reusable := ask(keepAlive, keepAliveReader)
		So(code, ShouldEqual, http.StatusNoContent)
		So(reusable, ShouldBeTrue)

		s.stop()
		_, err := keepAliveReader.Peek(1)
		Convey("ends the connections that are idle", func() { So(err, ShouldEqual, io.EOF) })
		Convey("responds to a first request that arrives now, and ends its connection", func() {
			code, reusable := ask(unused, unusedReader)
			So(code, ShouldEqual, http.StatusNoContent)
			So(reusable, ShouldBeFalse)
			<-s.done
			So(*s.lastLogLine.Load(), ShouldContainSubstring, `"read"=1 "unanswered"=0 "unused"=0 "cut"=0`)
			So(*s.lastLogLine.Load(), ShouldContainSubstring, `"idle"=1 "silence"=`)
		})
	})
}

// Guards against a count of unanswered requests that an early request makes too low. A request that
// was read before the listener began to close is handled while it closes. If it were counted, it
// would offset a later request that got no response.
func TestEarlyRequestHidesUnansweredOne(t *testing.T) {
	Convey("Of two connections, one read before the listener closes and one after", t, func() {
		var conns connTracker
		early, late := &net.TCPConn{}, &net.TCPConn{}
		contexts := map[net.Conn]context.Context{}
		for _, conn := range []net.Conn{early, late} {
			conns.stateChanged(conn, http.StateNew)
			contexts[conn] = conns.connContext(context.Background(), conn)
		}
		handler := conns.wrap(http.NotFoundHandler())
		answer := func(conn net.Conn) {
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil).WithContext(contexts[conn]))
		}
		conns.stateChanged(early, http.StateActive)
		conns.beginClose()
		conns.stateChanged(late, http.StateActive)
		answer(early)
		So(conns.statsAtClose(), ShouldResemble, closeStats{
			read:       1,
			unanswered: 1,
			aborted:    2,
		})
		answer(late)
		So(conns.statsAtClose().unanswered, ShouldEqual, 0)
	})
}

// Guards against requests that a stop drops: those that arrive without pause while an entry
// stops must get a response, or have their
// connection refused.
func TestStopDropsRequests(t *testing.T) {
	Convey("Callers with kept and with new connections while a listener stops", t, func() {
		s := startServer(t)
		var callers sync.WaitGroup
		failures := make(chan string, 40)
		for i := range cap(failures) {
			callers.Go(func() { failures <- sendUntilRefused(s.address, i%2 == 0) })
		}
		mgclock.Clock{}.Sleep(t.Context(), 100)
		s.stop()
		callers.Wait()
		close(failures)
		for failure := range failures {
			So(failure, ShouldEqual, "")
		}
	})
}

// sendUntilRefused sends requests until a connection is refused. It returns the error of a request
// that got no response, or "".
func sendUntilRefused(address string, keep bool) string {
	var conn net.Conn
	var reader *bufio.Reader
	for {
		if conn == nil {
			fresh, err := net.Dial("tcp", address)
			if errors.Is(err, syscall.ECONNREFUSED) {
				return ""
			}
			if err != nil {
				return fmt.Sprintf("connect: %v", err)
			}
			conn, reader = fresh, bufio.NewReader(fresh)
		}
		_, err := io.Copy(conn, strings.NewReader("GET / HTTP/1.1\r\nHost: entry\r\n\r\n"))
		if err != nil {
			return fmt.Sprintf("send: %v", err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return fmt.Sprintf("answer: %v", err)
		}
		if !keep || response.Close {
			_ = conn.Close()
			conn = nil
		}
	}
}
