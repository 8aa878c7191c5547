package mglistener_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// settleTime is long enough for handshakes in progress on loopback.
const settleTime = 50 * mgclock.Millis(1)

// Guards against a shutdown that resets the connections in the accept queue.
func TestFinishKeepsAcceptQueue(t *testing.T) {
	Convey("Connections in the accept queue when the listener shuts down are accepted", t, func() {
		const count = 20
		listener, err := mglistener.Listen("127.0.0.1:0", nil)
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		for range count {
			conn, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			defer conn.Close()
			_, err = conn.Write([]byte("request"))
			So(err, ShouldBeNil)
		}
		So(listener.Shutdown(0), ShouldBeNil)
		mgclock.Clock{}.Sleep(t.Context(), 20) // settle is over before the first Accept
		accepted := 0
		for {
			conn, err := listener.Accept()
			if err != nil {
				So(errors.Is(err, net.ErrClosed), ShouldBeTrue)
				break
			}
			accepted++
			So(conn.Close(), ShouldBeNil)
		}
		So(accepted, ShouldEqual, count)
		_, err = net.Dial("tcp", address)
		So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeTrue)
	})
}

// Guards against a reset of a caller that connects during the shutdown: it must be
// answered or refused.
func TestFinishUnderLoad(t *testing.T) {
	Convey("Callers that keep connecting during the shutdown are answered or refused", t, func() {
		listener, err := mglistener.Listen("127.0.0.1:0", nil)
		So(err, ShouldBeNil)
		var callers sync.WaitGroup
		failures := make(chan error, 8)
		for range cap(failures) {
			callers.Go(func() { failures <- callUntilRefused(listener.Addr().String()) })
		}
		acceptEnded := make(chan error, 1)
		go func() { acceptEnded <- echoUntilClosed(listener) }()
		mgclock.Clock{}.Sleep(t.Context(), 100)
		So(listener.Shutdown(settleTime), ShouldBeNil)
		So(errors.Is(<-acceptEnded, net.ErrClosed), ShouldBeTrue)
		callers.Wait()
		close(failures)
		for err := range failures {
			So(err, ShouldBeNil)
		}
	})
}

// callUntilRefused opens connections one after another, exchanges a byte on each, and
// returns nil when one is refused.
func callUntilRefused(address string) error {
	for {
		conn, err := net.Dial("tcp", address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
		if err != nil {
			return err
		}
		_, err = conn.Write([]byte{1})
		if err == nil {
			_, err = io.ReadFull(conn, make([]byte, 1))
		}
		_ = conn.Close()
		if err != nil {
			return err
		}
	}
}

// echoUntilClosed echoes one byte on each connection until the listener is closed.
func echoUntilClosed(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			_, _ = io.CopyN(conn, conn, 1)
		}()
	}
}

// Guards against connections that are accepted and closed one by one while many wait, and against a caller
// that vanishes unnoticed.
func TestQueuedConnectionsStayOpen(t *testing.T) {
	Convey("A listener with connections in its accept queue", t, func() {
		l, err := mglistener.Listen("127.0.0.1:0", nil)
		So(err, ShouldBeNil)
		defer l.Close()
		var callers []net.Conn
		for range 5 {
			caller, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			defer caller.Close()
			callers = append(callers, caller)
		}
		Convey("closes as many as it is asked for", func() {
			count, err := l.CloseQueued(3)
			So(err, ShouldBeNil)
			So(count, ShouldEqual, 3)
			for _, caller := range callers[:3] {
				_, err := caller.Read(make([]byte, 1))
				So(err, ShouldNotBeNil)
			}
			conn, err := l.Accept()
			So(err, ShouldBeNil)
			defer conn.Close()
			So(conn.RemoteAddr().String(), ShouldEqual, callers[3].LocalAddr().String())
			Convey("and none once the queue is empty", func() {
				count, err := l.CloseQueued(3)
				So(err, ShouldBeNil)
				So(count, ShouldEqual, 1)
			})
		})
		Convey("probes the peers of those that are kept", func() {
			conn, err := l.Accept()
			So(err, ShouldBeNil)
			defer conn.Close()
			So(isProbed(conn), ShouldBeFalse)
			mglistener.EnableKeepAlive(conn)
			So(isProbed(conn), ShouldBeTrue)
		})
	})
}

// isProbed reports whether the kernel probes the peer of a connection.
func isProbed(conn net.Conn) bool {
	raw, err := mglistener.ConnOf(conn).SyscallConn()
	So(err, ShouldBeNil)
	value := 0
	So(raw.Control(func(fd uintptr) {
		value, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
	}), ShouldBeNil)
	So(err, ShouldBeNil)
	return value != 0
}
