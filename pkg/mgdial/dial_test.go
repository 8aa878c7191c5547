package mgdial_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

// A call waits on a connection that a partition has cut without a reset, until
// its whole timeout is over. The kernel must be asked for signs of life, at
// the interval that the caller set.
func TestSilentConnectionNotProbed(t *testing.T) {
	Convey("A connection has keep-alives", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		conn, err := mgdial.Near(3*time.Second)(context.Background(), "tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		idle, count := readKeepAlive(t, conn)
		So(idle, ShouldEqual, 1)
		So(count, ShouldEqual, 2)
	})
}

// An upstream whose connection was reset must not be taken for one that has ended.
func TestLiveUpstreamTakenForEnded(t *testing.T) {
	Convey("Of an address", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		addr := listener.Addr().String()
		Convey("where somebody listens it is told that it doesn't refuse", func() {
			refuses, err := mgdial.Refuses(context.Background(), addr)
			So(err, ShouldBeNil)
			So(refuses, ShouldBeFalse)
		})
		Convey("where nobody does any more, that it refuses", func() {
			So(listener.Close(), ShouldBeNil)
			refuses, err := mgdial.Refuses(context.Background(), addr)
			So(err, ShouldBeNil)
			So(refuses, ShouldBeTrue)
		})
		Convey("that gives no answer in time, that it isn't known", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, err := mgdial.Refuses(ctx, addr)
			So(err, ShouldNotBeNil)
		})
	})
}
