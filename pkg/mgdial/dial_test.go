package mgdial_test

import (
	"context"
	"net"
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
