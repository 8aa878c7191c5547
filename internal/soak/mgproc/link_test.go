package mgproc_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/soak/mgproc"
)

// Guards against a link that accepts a connection for a target that is gone: the
// caller couldn't tell that nothing was sent.
func TestLinkAcceptsWithoutTarget(t *testing.T) {
	Convey("A link that the caller dials", t, func() {
		target, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() {
			for {
				conn, err := target.Accept()
				if err != nil {
					return
				}
				go func() {
					_, _ = io.Copy(conn, conn)
					_ = conn.Close()
				}()
			}
		}()
		link, err := mgproc.NewLink(target.Addr().String())
		So(err, ShouldBeNil)
		defer link.Close()
		Convey("forwards the data of both ends, and the end of the stream", func() {
			conn, err := link.Dial(context.Background())
			So(err, ShouldBeNil)
			_, err = conn.Write([]byte("report"))
			So(err, ShouldBeNil)
			echoed := make([]byte, len("report"))
			_, err = io.ReadFull(conn, echoed)
			So(err, ShouldBeNil)
			So(string(echoed), ShouldEqual, "report")
			So(link.Cut(), ShouldEqual, 1)
			_, err = conn.Read(echoed)
			So(err, ShouldEqual, io.EOF)
			So(target.Close(), ShouldBeNil)
		})
		Convey("refuses connections once its target is gone", func() {
			So(target.Close(), ShouldBeNil)
			_, err := link.Dial(context.Background())
			So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeTrue)
		})
		Convey("closes connections while it is blocked", func() {
			link.Block(true)
			conn, err := link.Dial(context.Background())
			So(err, ShouldBeNil)
			_, err = conn.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
			So(target.Close(), ShouldBeNil)
		})
	})
}
