package mglistener_test

import (
	"errors"
	"io"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
)

// Guards against a time limit of a request that is lost when the deadline for reads is removed.
func TestRequestTimeoutRemoved(t *testing.T) {
	Convey("A connection with timeouts", t, func() {
		caller, conn := openConn()
		defer caller.Close()
		defer conn.Close()
		var late atomic.Int64
		conn.SetTimeouts(mglistener.Timeouts{
			Head:  20,
			Body:  40,
			Write: 50,
		}, func() { late.Add(1) })
		buffer := make([]byte, 64)
		begin := func() {
			_, err := io.WriteString(caller, "begin")
			So(err, ShouldBeNil)
			_, err = conn.Read(buffer)
			So(err, ShouldBeNil)
		}
		Convey("ends a head and a body that don't arrive, although no deadline is set", func() {
			begin()
			for range 2 {
				So(conn.SetReadDeadline(time.Time{}), ShouldBeNil)
				_, err := conn.Read(buffer)
				So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
				So(conn.BeginBody(), ShouldBeNil)
			}
			So(late.Load(), ShouldEqual, 2)
		})
		Convey("ends a request for another one, and not one that is whole", func() {
			begin()
			So(conn.AbortRequest(), ShouldBeTrue)
			So(conn.IsRequestAborted(), ShouldBeTrue)
			So(conn.SetReadDeadline(time.Time{}), ShouldBeNil)
			_, err := conn.Read(buffer)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			So(late.Load(), ShouldEqual, 0)
			So(conn.EndRequest(), ShouldBeNil)
			So(conn.AbortRequest(), ShouldBeFalse)
		})
		Convey("has no time limit between requests and while one is answered", func() {
			begin()
			So(conn.EndRequest(), ShouldBeNil)
			_, receiving := conn.ReceivingSince()
			So(receiving, ShouldBeFalse)
			go func() {
				time.Sleep(60 * time.Millisecond)
				_, _ = io.WriteString(caller, "next")
			}()
			_, err := conn.Read(buffer)
			So(err, ShouldBeNil)
		})
		Convey("ends an answer that isn't read", func() {
			var err error
			for err == nil {
				_, err = conn.Write(make([]byte, 1<<20))
			}
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
		})
	})
}

// Guards against a kernel that keeps megabytes of a connection that isn't read.
func TestReceiveQueueUnlimited(t *testing.T) {
	Convey("A listener with a small receive buffer", t, func() {
		listener, err := mglistener.Listen("127.0.0.1:0", nil)
		So(err, ShouldBeNil)
		defer listener.Close()
		So(listener.SetReceiveBuffer(16<<10), ShouldBeNil)
		caller, conn := openConnAt(listener)
		defer caller.Close()
		defer conn.Close()
		So(receiveBufferOf(conn), ShouldBeLessThanOrEqualTo, 32<<10)
	})
}

// Guards against a broken answer that looks whole, as its connection lingers in place of being reset.
func TestBrokenAnswerLingers(t *testing.T) {
	Convey("A connection that is to be reset, with an answer to a request that is still sent", t, func() {
		caller, conn := openConn()
		defer caller.Close()
		conn.SetTimeouts(mglistener.Timeouts{
			Linger: 5000,
		}, nil)
		_, err := io.WriteString(caller, "a part of a request")
		So(err, ShouldBeNil)
		_, err = conn.Read(make([]byte, 64))
		So(err, ShouldBeNil)
		mglistener.ResetOnClose(conn, true)
		_, err = io.WriteString(conn, "a part of an answer")
		So(err, ShouldBeNil)
		So(conn.Close(), ShouldBeNil)
		_, err = io.ReadAll(caller)
		So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
	})
}

// Guards against the refusal of a request that its caller still sends, which the end of the connection resets.
func TestRefusalLostWithUnreadBody(t *testing.T) {
	for _, skips := range []bool{false, true} {
		Convey("A connection that is closed after the answer to an unread request", t, func() {
			caller, conn := openConn()
			defer caller.Close()
			conn.SetTimeouts(mglistener.Timeouts{
				Linger: 5000,
			}, nil)
			_, err := caller.Write(make([]byte, 1000))
			So(err, ShouldBeNil)
			_, err = conn.Read(make([]byte, 10))
			So(err, ShouldBeNil)
			_, err = io.WriteString(conn, "refused")
			So(err, ShouldBeNil)
			if skips {
				conn.SkipLinger()
			}
			closed := make(chan error, 1)
			go func() { closed <- conn.Close() }()
			if skips {
				So(<-closed, ShouldBeNil)
				return
			}
			for range 20 {
				_, err = caller.Write(make([]byte, 1000))
				So(err, ShouldBeNil)
			}
			answer, err := io.ReadAll(caller)
			So(err, ShouldBeNil)
			So(string(answer), ShouldEqual, "refused")
			So(caller.Close(), ShouldBeNil)
			So(<-closed, ShouldBeNil)
		})
	}
}
