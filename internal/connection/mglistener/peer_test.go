package mglistener_test

import (
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
)

// Guards against a caller that counts as there after it has left, or the other way round.
func TestPeerLeftUnnoticed(t *testing.T) {
	cases := []struct {
		name   string
		leave  func(caller *net.TCPConn) error
		closed bool
	}{
		{
			name:  "is silent",
			leave: func(*net.TCPConn) error { return nil },
		},
		{
			name:   "closes",
			leave:  func(caller *net.TCPConn) error { return caller.Close() },
			closed: true,
		},
		{
			name:   "ends its stream",
			leave:  func(caller *net.TCPConn) error { return caller.CloseWrite() },
			closed: true,
		},
		{
			name: "resets",
			leave: func(caller *net.TCPConn) error {
				_ = caller.SetLinger(0)
				return caller.Close()
			},
			closed: true,
		},
		{
			name: "has sent another request",
			leave: func(caller *net.TCPConn) error {
				_, err := caller.Write([]byte("GET"))
				return err
			},
		},
	}
	for _, c := range cases {
		Convey("A caller that "+c.name, t, func() {
			caller, conn := openConn()
			defer caller.Close()
			defer conn.Close()
			So(c.leave(caller.(*net.TCPConn)), ShouldBeNil)
			if c.closed {
				_, _ = conn.Read(make([]byte, 1)) // waits for the end, which stays readable
			}
			So(mglistener.HasPeerClosed(conn), ShouldEqual, c.closed)
		})
	}
	Convey("An unknown connection counts as open", t, func() {
		So(mglistener.HasPeerClosed(nil), ShouldBeFalse)
		one, other := net.Pipe()
		So(other.Close(), ShouldBeNil)
		So(mglistener.HasPeerClosed(one), ShouldBeFalse)
	})
}
