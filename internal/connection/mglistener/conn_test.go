package mglistener_test

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// openConn opens a connection, and returns both its ends.
func openConn() (caller net.Conn, conn *mglistener.Conn) {
	listener, err := mglistener.Listen("127.0.0.1:0", nil)
	So(err, ShouldBeNil)
	defer listener.Close()
	return openConnAt(listener)
}

// openConnAt opens a connection at a listener, and returns both its ends.
func openConnAt(listener *mglistener.Listener) (caller net.Conn, conn *mglistener.Conn) {
	caller, err := net.Dial("tcp", listener.Addr().String())
	So(err, ShouldBeNil)
	accepted, err := listener.Accept()
	So(err, ShouldBeNil)
	conn = mglistener.ConnOf(accepted)
	So(conn, ShouldNotBeNil)
	return caller, conn
}

// receiveBufferOf returns the size of a connection's receive buffer in bytes.
func receiveBufferOf(conn *mglistener.Conn) (size int) {
	raw, err := conn.SyscallConn()
	So(err, ShouldBeNil)
	err = raw.Control(func(fd uintptr) { size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) })
	So(err, ShouldBeNil)
	return size
}

// awaitArrival waits until the connection's socket has bytes to read or the end of the stream.
func awaitArrival(t *testing.T, conn *mglistener.Conn) {
	raw, err := conn.SyscallConn()
	So(err, ShouldBeNil)
	arrived := false
	for !arrived {
		err := raw.Control(func(fd uintptr) {
			_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			arrived = err == nil
		})
		So(err, ShouldBeNil)
		mgclock.Clock{}.Sleep(t.Context(), 1)
	}
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
		awaitArrival(t, conn)
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
			awaitArrival(t, conn)
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
			awaitArrival(t, conn)
			So(conn.EndIdle(), ShouldBeNil)
			_, err := conn.Read(buffer)
			So(err, ShouldEqual, io.EOF)
		})
	})
}

// Guards against the failure of TestEndIdleDropsReceivedRequest on a connection with TLS.
func TestEndIdleDropsReceivedTLSRequest(t *testing.T) {
	Convey("An idle connection with TLS has its next request read if it arrived before the end", t, func() {
		// The server is used for its certificate only.
		certified := httptest.NewTLSServer(http.NotFoundHandler())
		defer certified.Close()
		listener, err := mglistener.Listen("127.0.0.1:0", certified.TLS)
		So(err, ShouldBeNil)
		defer listener.Close()
		var caller net.Conn
		var callErr error
		var calls sync.WaitGroup
		calls.Go(func() {
			caller, callErr = tls.Dial("tcp", listener.Addr().String(), &tls.Config{
				RootCAs:    certified.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs,
				ServerName: "example.com",
			})
			if callErr == nil {
				_, callErr = io.WriteString(caller, "first")
			}
		})
		conn, err := listener.Accept()
		So(err, ShouldBeNil)
		defer conn.Close()
		buffer := make([]byte, 64)
		n, err := conn.Read(buffer)
		So(err, ShouldBeNil)
		So(string(buffer[:n]), ShouldEqual, "first")
		calls.Wait()
		So(callErr, ShouldBeNil)
		defer caller.Close()
		mglistener.ConnOf(conn).BeginIdle()
		_, err = io.WriteString(caller, "next")
		So(err, ShouldBeNil)
		awaitArrival(t, mglistener.ConnOf(conn))
		So(mglistener.ConnOf(conn).EndIdle(), ShouldBeNil)
		n, err = conn.Read(buffer)
		So(err, ShouldBeNil)
		So(string(buffer[:n]), ShouldEqual, "next")
	})
}
