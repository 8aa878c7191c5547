package mgdial

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// connPair returns both ends of a connection.
func connPair(t *testing.T) (conn *resetConn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := listener.Accept()
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = accepted.Close() })
	return newResetConn(dialed), accepted.(*net.TCPConn)
}

// writeUntilFailure writes until a write fails.
func writeUntilFailure(conn net.Conn) error {
	for data := make([]byte, 64<<10); ; {
		if _, err := conn.Write(data); err != nil {
			return err
		}
	}
}

// Guards against a reset that only the writer sees, so that the reader takes a cut response for a whole one.
func TestResetReadAsEnd(t *testing.T) {
	Convey("A response whose connection ends while the request is written", t, func() {
		conn, peer := connPair(t)
		_, err := io.WriteString(peer, "part")
		So(err, ShouldBeNil)
		read := func() error {
			data, err := io.ReadAll(conn)
			So(string(data), ShouldEqual, "part")
			return err
		}
		Convey("by a reset ends with an error", func() {
			So(peer.SetLinger(0), ShouldBeNil)
			So(peer.Close(), ShouldBeNil)
			So(writeUntilFailure(conn), ShouldNotBeNil)
			conn.endRequest()
			So(errors.Is(read(), syscall.ECONNRESET), ShouldBeTrue)
			Convey("each time it is read", func() {
				_, err := conn.Read(make([]byte, 1))
				So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
			})
			Convey("also if this process has closed the connection since", func() {
				So(conn.Close(), ShouldBeNil)
				So(conn.wasReset(), ShouldBeTrue)
			})
		})
		Convey("by a close ends with an error if the server doesn't read on", func() {
			So(peer.Close(), ShouldBeNil) // it has read all so far, so that this isn't a reset
			go func() {
				_ = writeUntilFailure(conn)
				conn.endRequest()
			}()
			So(errors.Is(read(), syscall.ECONNRESET), ShouldBeTrue)
		})
		Convey("by a close is whole if the server reads the request", func() {
			So(peer.CloseWrite(), ShouldBeNil)
			go func() { _, _ = io.Copy(io.Discard, peer) }()
			go func() {
				_, _ = conn.Write(make([]byte, 4<<20))
				conn.endRequest()
			}()
			So(read(), ShouldBeNil)
		})
		Convey("by a close is whole if the server neither reads on nor resets the connection", func() {
			So(peer.CloseWrite(), ShouldBeNil)
			go func() { _ = writeUntilFailure(conn) }()
			So(read(), ShouldBeNil)
		})
		Convey("by a close is whole if the request has been written", func() {
			conn.endRequest()
			So(peer.Close(), ShouldBeNil)
			So(read(), ShouldBeNil)
		})
	})
}

// silentConn is a connection of which the end is read at once, and whose writes last until they are ended.
type silentConn struct {
	net.Conn
	began   chan struct{}
	endings chan error
}

func (c *silentConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *silentConn) Write(p []byte) (int, error) {
	close(c.began)
	return len(p), <-c.endings
}

// Guards against an end that is read before the write fails that gets the reset, where the system doesn't report
// the state of a connection.
func TestEndReadBeforeWriteFails(t *testing.T) {
	Convey("The end of a connection of unknown state", t, func() {
		inner := &silentConn{
			began:   make(chan struct{}),
			endings: make(chan error, 1),
		}
		conn := newResetConn(inner)
		read := func() error {
			_, err := conn.Read(make([]byte, 1))
			return err
		}
		Convey("is an ordinary one if the request has been written", func() {
			conn.endRequest()
			So(read(), ShouldEqual, io.EOF)
		})
		Convey("while a write is in progress", func() {
			go func() {
				_, _ = conn.Write([]byte("x"))
				conn.endRequest()
			}()
			<-inner.began
			Convey("is a reset if the write fails", func() {
				time.AfterFunc(writeEndTimeout/20, func() { inner.endings <- syscall.EPIPE })
				So(errors.Is(read(), syscall.ECONNRESET), ShouldBeTrue)
			})
			Convey("is an ordinary one if the write goes on", func() {
				So(read(), ShouldEqual, io.EOF)
				inner.endings <- nil
			})
		})
	})
}
