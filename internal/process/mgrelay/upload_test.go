package mgrelay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
)

// uploadBytes is the size of an upload that the buffers of a connection can't hold, and readBytes what the
// upstream reads of it.
const (
	uploadBytes = 4 << 20
	readBytes   = 32 << 10
)

// addEarlyUpstream adds an upstream that answers once it has read a part of the request, and then ends the
// connection.
func (g *harness) addEarlyUpstream(answer string, end func(conn *net.TCPConn)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(conn, make([]byte, readBytes))
				_, _ = io.WriteString(conn, answer)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	g.setHosts([]mgrelay.Host{{
		Name:            firstUpstream,
		Addr:            listener.Addr().String(),
		SoftwareVersion: "v1",
	}})
}

// Guards against an answer without a length that its upstream resets while the upload is still being written, and
// that is passed on as a whole one.
func TestAnswerResetDuringUploadLooksWhole(t *testing.T) {
	const header = "Request-Id: request-1\r\nSignature: s\r\nSoftware: v1\r\n\r\n"
	const plays = 8
	part := strings.Repeat("x", 20<<10)
	answers := []struct {
		name, text string
	}{
		{
			name: "HTTP/1.1",
			text: "HTTP/1.1 200 OK\r\n" + header + part,
		},
		{
			name: "HTTP/1.0",
			text: "HTTP/1.0 200 OK\r\n" + header + part,
		},
		{
			name: "an interim response before it",
			text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + header + part,
		},
		{
			name: "no body",
			text: "HTTP/1.1 200 OK\r\n" + header,
		},
		{
			name: "more than is held",
			text: "HTTP/1.1 200 OK\r\n" + header + strings.Repeat("x", 400<<10),
		},
	}
	endings := []struct {
		name string
		end  func(conn *net.TCPConn)
	}{
		{
			name: "a reset",
			end: func(conn *net.TCPConn) {
				time.Sleep(20 * time.Millisecond) // the answer arrives before
				_ = conn.SetLinger(0)
				_ = conn.Close()
			},
		},
		{
			name: "a close with unread bytes",
			end: func(conn *net.TCPConn) {
				time.Sleep(20 * time.Millisecond)
				_ = conn.Close()
			},
		},
	}
	Convey("An upload whose answer ends before it was read", t, func() {
		for _, a := range answers {
			for _, e := range endings {
				for _, path := range []string{"/look/1", "/once/1"} {
					Convey(fmt.Sprintf("by %s, with %s, fails at %s", e.name, a.name, path), func() {
						g := newHarness(t)
						g.addEarlyUpstream(a.text, e.end)
						passed := 0
						for range plays {
							got := g.send(context.Background(), http.MethodPost, path, strings.Repeat("u", uploadBytes), nil)
							if !got.cut && got.status == http.StatusOK {
								passed++
							}
						}
						So(passed, ShouldEqual, 0)
					})
				}
			}
		}
	})
}

// Guards against a whole answer that fails because its upstream didn't read the rest of the upload, or reset the
// connection after the answer's end.
func TestWholeAnswerDuringUploadFails(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSignature: s\r\nSoftware: v1\r\n"
	Convey("An upload whose answer is whole before it was read gets that answer", t, func() {
		for _, length := range []string{"", "Content-Length: 6\r\n"} {
			Convey(fmt.Sprintf("with the header %q", length), func() {
				g := newHarness(t)
				g.addEarlyUpstream(header+length+"\r\nbooked", func(conn *net.TCPConn) {
					_ = conn.CloseWrite()
					_, _ = io.Copy(io.Discard, conn)
					_ = conn.Close()
				})
				got := g.send(context.Background(), http.MethodPost, "/once/1", strings.Repeat("u", uploadBytes), nil)
				So(got.cut, ShouldBeFalse)
				So(got.body, ShouldEqual, "booked")
			})
		}
	})
}
