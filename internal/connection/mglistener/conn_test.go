package mglistener_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// openConn opens a connection, and returns both its ends.
func openConn() (caller net.Conn, conn *mglistener.Conn) {
	listener, err := mglistener.Listen("127.0.0.1:0", nil)
	So(err, ShouldBeNil)
	defer listener.Close()
	caller, err = net.Dial("tcp", listener.Addr().String())
	So(err, ShouldBeNil)
	accepted, err := listener.Accept()
	So(err, ShouldBeNil)
	conn = mglistener.ConnOf(accepted)
	So(conn, ShouldNotBeNil)
	return caller, conn
}

// Guards against an idle connection that its idle timeout closes although its next request has
// arrived.
func TestDeadlineHidesReceivedRequest(t *testing.T) {
	Convey("A connection whose read deadline has expired", t, func() {
		caller, conn := openConn()
		defer caller.Close()
		defer conn.Close()
		buffer := make([]byte, 64)
		_, err := io.WriteString(caller, "request")
		So(err, ShouldBeNil)
		mgclock.Clock{}.Sleep(t.Context(), 20)
		So(conn.SetReadDeadline(mgclock.DeadlineAfter(-1)), ShouldBeNil)
		Convey("has a request read that arrived before", func() {
			n, err := conn.Read(buffer)
			So(err, ShouldBeNil)
			So(string(buffer[:n]), ShouldEqual, "request")
			Convey("but doesn't wait for the rest of it", func() {
				_, err := conn.Read(buffer)
				So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			})
		})
	})
}

// Guards against an idle connection that is ended although its next request has arrived.
func TestEndIdleDropsReceivedRequest(t *testing.T) {
	Convey("A connection that is idle", t, func() {
		caller, conn := openConn()
		defer caller.Close()
		defer conn.Close()
		buffer := make([]byte, 64)
		exchange := func() {
			_, err := io.WriteString(caller, "first")
			So(err, ShouldBeNil)
			n, err := conn.Read(buffer)
			So(err, ShouldBeNil)
			So(string(buffer[:n]), ShouldEqual, "first")
			conn.BeginIdle()
		}
		Convey("has its next request read if it arrived before the end", func() {
			exchange()
			_, err := io.WriteString(caller, "next")
			So(err, ShouldBeNil)
			mgclock.Clock{}.Sleep(t.Context(), 20)
			So(conn.EndIdle(), ShouldBeNil)
			n, err := conn.Read(buffer)
			So(err, ShouldBeNil)
			So(string(buffer[:n]), ShouldEqual, "next")
			Convey("with all that follows", func() {
				So(conn.EndIdle(), ShouldBeNil)
				go func() {
					mgclock.Clock{}.Sleep(t.Context(), 20)
					_, _ = io.WriteString(caller, "body")
				}()
				n, err := conn.Read(buffer)
				So(err, ShouldBeNil)
				So(string(buffer[:n]), ShouldEqual, "body")
			})
		})
		Convey("ends if none has arrived", func() {
			exchange()
			So(conn.EndIdle(), ShouldBeNil)
			_, err := conn.Read(buffer)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
		})
		Convey("ends if its caller has closed it", func() {
			exchange()
			So(caller.Close(), ShouldBeNil)
			mgclock.Clock{}.Sleep(t.Context(), 20)
			So(conn.EndIdle(), ShouldBeNil)
			_, err := conn.Read(buffer)
			So(err, ShouldEqual, io.EOF)
		})
	})
}
