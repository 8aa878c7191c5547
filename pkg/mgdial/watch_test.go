package mgdial_test

import (
	"context"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

// Guards against taking what listens at an address for the process that was watched there.
func TestRestartedProcessLooksAlive(t *testing.T) {
	Convey("A watch of a process", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		watch, err := mgdial.WatchProcess(context.Background(), listener.Addr().String(), nil)
		So(err, ShouldBeNil)
		defer watch.Close()
		accepted, err := listener.Accept()
		So(err, ShouldBeNil)
		Convey("is open while it runs", func() {
			So(watch.IsOpen(), ShouldBeTrue)
			So(watch.IsOpen(), ShouldBeTrue)
			So(accepted.Close(), ShouldBeNil)
		})
		Convey("is not open after its end, though its address accepts connections", func() {
			So(accepted.Close(), ShouldBeNil)
			for watch.IsOpen() {
				mgclock.Clock{}.Sleep(t.Context(), 1)
			}
			refuses, err := mgdial.RefusesConnections(context.Background(), listener.Addr().String())
			So(err, ShouldBeNil)
			So(refuses, ShouldBeFalse)
		})
	})
	Convey("A process that answers on a connection", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		addr := listener.Addr().String()
		answered, err := net.Dial("tcp", addr)
		So(err, ShouldBeNil)
		defer answered.Close()
		accepted, err := listener.Accept()
		So(err, ShouldBeNil)
		Convey("is watched while the connection is open, however old it is", func() {
			mgclock.Clock{}.Sleep(t.Context(), 20)
			watch, err := mgdial.WatchProcess(context.Background(), addr, answered)
			So(err, ShouldBeNil)
			watch.Close()
			So(accepted.Close(), ShouldBeNil)
		})
		Convey("isn't watched once it has ended the connection, with data that nobody has read", func() {
			_, err := accepted.Write([]byte("data: a"))
			So(err, ShouldBeNil)
			So(accepted.Close(), ShouldBeNil)
			mgclock.Clock{}.Sleep(t.Context(), 20)
			_, err = mgdial.WatchProcess(context.Background(), addr, answered)
			So(err, ShouldWrap, mgdial.ErrConnectionEnded)
		})
		Convey("isn't watched once this process has closed the connection", func() {
			So(answered.Close(), ShouldBeNil)
			_, err = mgdial.WatchProcess(context.Background(), addr, answered)
			So(err, ShouldWrap, mgdial.ErrConnectionEnded)
		})
	})
	Convey("An address that refuses connections can't be watched", t, func() {
		_, err := mgdial.WatchProcess(context.Background(), "127.0.0.1:1", nil)
		So(err, ShouldNotBeNil)
	})
}
