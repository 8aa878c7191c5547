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

// Guards against an idle connection that is ended although its next request has arrived.
func TestEndIdleDropsReceivedRequest(t *testing.T) {
	Convey("A connection that is idle", t, func() {
		listener, err := mglistener.Listen("127.0.0.1:0", nil)
		So(err, ShouldBeNil)
		defer listener.Close()
		caller, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer caller.Close()
		accepted, err := listener.Accept()
		So(err, ShouldBeNil)
		defer accepted.Close()
		conn := mglistener.ConnOf(accepted)
		So(conn, ShouldNotBeNil)
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
