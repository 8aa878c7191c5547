package mglistener_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
)

// Guards against an answer without a length or chunks that ends as if it were whole because its
// process has ended.
func TestCloseEndsAnswerAsWhole(t *testing.T) {
	Convey("A connection on which an answer was begun", t, func() {
		caller, conn := openConn()
		defer caller.Close()
		request := mglistener.RequestConn(mglistener.ConnContext(context.Background(), conn))
		So(request, ShouldEqual, conn)
		mglistener.ResetOnClose(request, true)
		_, err := io.WriteString(conn, "half")
		So(err, ShouldBeNil)
		half := make([]byte, 4)
		_, err = io.ReadFull(caller, half)
		So(err, ShouldBeNil)
		Convey("is reset if it is closed before the answer is complete", func() {
			So(conn.Close(), ShouldBeNil)
			_, err = caller.Read(half)
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
		})
		Convey("ends in the ordinary way afterwards", func() {
			mglistener.ResetOnClose(request, false)
			_, err := io.WriteString(conn, "rest")
			So(err, ShouldBeNil)
			So(conn.Close(), ShouldBeNil)
			rest, err := io.ReadAll(caller)
			So(err, ShouldBeNil)
			So(string(rest), ShouldEqual, "rest")
		})
	})
	Convey("A request without a connection, or with one that isn't TCP, is left as it is", t, func() {
		one, other := net.Pipe()
		defer one.Close()
		defer other.Close()
		for _, conn := range []net.Conn{nil, one, mglistener.RequestConn(context.Background())} {
			So(func() { mglistener.ResetOnClose(conn, true) }, ShouldNotPanic)
		}
	})
}
