package mgrelay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

// Guards against work for a caller that has left, at a process that is late to notice it.
func TestRequestSentAfterCallerLeft(t *testing.T) {
	cases := []struct {
		name    string
		during  string // the part of the request's way in which its caller leaves
		arrived int
	}{
		{
			name:    "stays",
			arrived: 1,
		},
		{
			name:   "leaves before an upstream is chosen",
			during: "choice",
		},
		{
			name:   "leaves while the upstream is connected",
			during: "dial",
		},
	}
	for _, c := range cases {
		Convey("A caller that "+c.name, t, func() {
			g := newHarness(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "read") })
			callers := make(chan net.Conn, 1)
			accepted := make(chan net.Conn, 1)
			metrics := mgmetric.New()
			leave := func(part string) {
				if part != c.during {
					return
				}
				select {
				case caller := <-callers:
					_ = caller.Close()
					awaitPeerClosed(<-accepted)
				default:
				}
			}
			var relay *mgrelay.Relay
			g.startRelay(func(spec *mgrelay.Spec) {
				spec.Metrics = metrics
				spec.Upstreams = func(string) []mgrelay.Host {
					leave("choice")
					return g.currentHosts()
				}
				dial := mgdial.DialInRegion(time.Minute)
				spec.Client = mgdial.NewClientWith(func(ctx context.Context, network, addr string) (net.Conn, error) {
					leave("dial")
					return dial(ctx, network, addr)
				})
				relay = mgrelay.New(*spec)
			})
			done := make(chan struct{})
			// The server doesn't notice that the caller leaves.
			front := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer close(done)
				relay.Serve(w, r.WithContext(context.WithoutCancel(r.Context())), mgrelay.Call{
					Table:   g.table,
					Route:   g.table.Route("tanks.example", "/once/1"),
					Account: g.table.Account("tankline"),
				})
			}))
			front.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
				accepted <- conn
				return mglistener.ConnContext(ctx, conn)
			}
			front.Start()
			defer front.Close()
			caller, err := net.Dial("tcp", front.Listener.Addr().String())
			So(err, ShouldBeNil)
			defer caller.Close()
			callers <- caller
			_, err = io.WriteString(caller, "POST /once/1 HTTP/1.1\r\nHost: tanks.example\r\nRequest-Id: r-1\r\nContent-Length: 4\r\n\r\nbody")
			So(err, ShouldBeNil)
			<-done
			So(g.requests(), ShouldHaveLength, c.arrived)
			So(metrics.Counter("relay.left").Count(), ShouldEqual, 1-c.arrived)
		})
	}
}

// awaitPeerClosed waits until the end of the peer's stream has arrived.
func awaitPeerClosed(conn net.Conn) {
	for deadline := time.Now().Add(5 * time.Second); !mglistener.HasPeerClosed(conn) && time.Now().Before(deadline); {
		runtime.Gosched()
	}
}
