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
func TestSilence(t *testing.T) {
	Convey("A connection has keep-alives", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		conn, err := mgdial.Near(3*time.Second)(context.Background(), "tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		idle, count := keepAlive(t, conn)
		So(idle, ShouldEqual, 1)
		So(count, ShouldEqual, 2)
	})
}
