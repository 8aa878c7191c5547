package mgrelay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
)

// cutHeads returns the heads of an answer with each framing, cut after each of their bytes. A head is whole
// with its empty line only.
func cutHeads(status, header string) []string {
	var heads []string
	for _, framing := range []string{"Content-Length: 92\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", ""} {
		for _, hint := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
			head := "HTTP/1.1 " + status + "\r\n" + framing + "Request-Id: request-1\r\nSignature: s\r\nSoftware: v1\r\n" + header
			for end := range len(head) + 1 {
				heads = append(heads, hint+head[:end])
			}
		}
	}
	return heads
}

// cutHead writes the begin of a head and closes the connection, or resets it.
func cutHead(conn net.Conn, head string, resets bool) {
	_, _ = io.WriteString(conn, head)
	if resets {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// Guards against an answer whose upstream closes inside its head and that is passed on as a success, for each
// kind of request and of caller.
func TestAnswerCutInHeadLooksWhole(t *testing.T) {
	requests := []struct {
		name   string
		method string
		path   string
		proto  string
	}{
		{
			name:   "a stream",
			method: http.MethodPost,
			path:   "/write/1",
			proto:  "HTTP/1.1",
		},
		{
			name:   "a stream to a caller with HTTP/1.0",
			method: http.MethodPost,
			path:   "/write/1",
			proto:  "HTTP/1.0",
		},
		{
			name:   "a resumable stream",
			method: http.MethodPost,
			path:   "/note/1",
			proto:  "HTTP/1.1",
		},
		{
			name:   "a plain answer",
			method: http.MethodPost,
			path:   "/once/1",
			proto:  "HTTP/1.1",
		},
		{
			name:   "an answer that may be repeated",
			method: http.MethodGet,
			path:   "/look/1",
			proto:  "HTTP/1.1",
		},
		{
			name:   "an answer to HEAD",
			method: http.MethodHead,
			path:   "/look/1",
			proto:  "HTTP/1.1",
		},
	}
	heads := cutHeads("200 OK", "Content-Type: text/event-stream\r\n")
	Convey(fmt.Sprintf("Of %d heads that are cut, none is a success for", len(heads)), t, func() {
		for _, r := range requests {
			Convey(r.name, func() {
				var next atomic.Int64
				g := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
					if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
						i := next.Load()
						cutHead(conn, heads[i], i%3 == 0)
					}
				})
				g.startRelay(func(spec *mgrelay.Spec) { spec.RefusesConnections = connectionsAccepted })
				for i, head := range heads {
					next.Store(int64(i))
					conn, err := net.Dial("tcp", g.addr)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = fmt.Fprintf(conn, "%s %s %s\r\nHost: tanks.example\r\nRequest-Id: request-1\r\nContent-Length: 0\r\n\r\n", r.method, r.path, r.proto)
					response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
					if err == nil {
						_ = response.Body.Close()
					}
					_ = conn.Close()
					if err == nil && response.StatusCode < http.StatusInternalServerError {
						t.Fatalf("status %d for the head %q", response.StatusCode, head)
					}
				}
			})
		}
	})
}

// Guards against a stream that continues at an upstream which closes inside its answer's head, and that ends as
// complete, or whose upstream crashes so.
func TestContinuationCutInHeadLooksWhole(t *testing.T) {
	heads := cutHeads("200 OK", "")
	Convey("A stream that is moved to an upstream which closes inside the head ends visibly", t, func() {
		for i, head := range heads {
			if i%7 > 0 {
				continue
			}
			s := &stoppedScenario{
				framing: []bodyFraming{byChunks, byClose}[i%2],
				moveScenario: &moveScenario{
					changed:  make(chan struct{}),
					breakOff: make(chan struct{}),
				},
			}
			s.harness = newHarness(t, s.source, func(w http.ResponseWriter, _ *http.Request) {
				if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
					cutHead(conn, head, i%3 == 0)
				}
			})
			s.reply = func(order mgrelay.MoveOrder) mgmigration.Reply {
				if order.Stop {
					close(s.breakOff)
				}
				return mgmigration.Reply{
					Outcome: mgmigration.Copied,
					Handle:  "h",
				}
			}
			s.harness.startRelay(func(spec *mgrelay.Spec) {
				s.configure(spec)
				spec.RefusesConnections = func(context.Context, string) (bool, error) { return i%5 == 0, nil }
			})
			got := s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
			if !got.cut || !strings.HasPrefix(wholeStream(), got.body) {
				t.Fatalf("the head %q: cut %v, body %q", head, got.cut, got.body)
			}
		}
	})
}
