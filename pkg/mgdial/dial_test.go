package mgdial_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

// Guards against a call that waits for its whole timeout on a connection that a
// partition has cut without a reset. The kernel must send keep-alive probes at
// the interval that the caller set.
func TestSilentConnectionNotProbed(t *testing.T) {
	Convey("A connection has keep-alives", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		conn, err := mgdial.DialInRegion(3*time.Second)(context.Background(), "tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		idle, count := readKeepAlive(t, conn)
		So(idle, ShouldEqual, 1)
		So(count, ShouldEqual, 2)
	})
}

// Guards against taking an upstream for ended when a connection to it fails: its
// process has ended only if the address refuses connections.
func TestLiveUpstreamTakenForEnded(t *testing.T) {
	Convey("An address", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		addr := listener.Addr().String()
		Convey("with a listener doesn't refuse", func() {
			refuses, err := mgdial.RefusesConnections(context.Background(), addr)
			So(err, ShouldBeNil)
			So(refuses, ShouldBeFalse)
		})
		Convey("whose listener is closed refuses", func() {
			So(listener.Close(), ShouldBeNil)
			refuses, err := mgdial.RefusesConnections(context.Background(), addr)
			So(err, ShouldBeNil)
			So(refuses, ShouldBeTrue)
		})
		Convey("that doesn't respond in time yields an error", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, err := mgdial.RefusesConnections(ctx, addr)
			So(err, ShouldNotBeNil)
		})
	})
}

// Guards against a response whose framing tells its end and that is taken for one that ends with
// its connection, or the reverse.
func TestFramingMisread(t *testing.T) {
	cases := []struct {
		name     string
		method   string
		response string
		withConn bool
	}{
		{
			name:     "neither length nor chunks",
			method:   http.MethodGet,
			response: "HTTP/1.1 200 OK\r\n\r\nbody",
			withConn: true,
		},
		{
			name:     "HTTP/1.0",
			method:   http.MethodGet,
			response: "HTTP/1.0 200 OK\r\n\r\nbody",
			withConn: true,
		},
		{
			name:     "a length",
			method:   http.MethodGet,
			response: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		},
		{
			name:     "chunks",
			method:   http.MethodGet,
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		},
		{
			name:     "no body, to HEAD",
			method:   http.MethodHead,
			response: "HTTP/1.1 200 OK\r\n\r\n",
		},
		{
			name:     "no body, 204",
			method:   http.MethodGet,
			response: "HTTP/1.1 204 No Content\r\n\r\n",
		},
	}
	Convey("A response with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				So(err, ShouldBeNil)
				defer listener.Close()
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, c.response)
					_ = conn.Close()
				}()
				request, err := http.NewRequest(c.method, "http://"+listener.Addr().String(), nil)
				So(err, ShouldBeNil)
				response, err := mgdial.Do(mgdial.NewClient(), request)
				So(err, ShouldBeNil)
				defer response.Body.Close()
				So(mgdial.EndsWithConnection(response), ShouldEqual, c.withConn)
			})
		}
	})
}
