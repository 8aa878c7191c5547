package mgservice_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgservice"
)

// Guards against bytes that are no reply and are taken for one, or for a statement that the call did not run.
func TestMalformedReplyAccepted(t *testing.T) {
	Convey("A call fails, and may have run, if its reply has", t, func() {
		for _, c := range []struct {
			name, reply string
		}{
			{
				name:  "the status 000",
				reply: "HTTP/1.1 000 OK\r\nContent-Length: 6\r\n\r\nbooked",
			},
			{
				name:  "the status 101",
				reply: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\nbooked",
			},
			{
				name:  "a length whose name ends with a blank",
				reply: "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nbooked",
			},
			{
				name:  "a field whose name holds a blank",
				reply: "HTTP/1.1 200 OK\r\nBad Name: a\r\nContent-Length: 6\r\n\r\nbooked",
			},
			{
				name:  "a field whose name holds a control byte",
				reply: "HTTP/1.1 200 OK\r\nNo\x01te: a\r\nContent-Length: 6\r\n\r\nbooked",
			},
		} {
			Convey(c.name, func() {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
						_, _ = io.WriteString(conn, c.reply)
						_ = conn.Close()
					}
				}))
				defer server.Close()
				_, err := mgservice.NewHTTP(server.URL, nil).Call(context.Background(), mgservice.CallSpec{
					Method: http.MethodPost,
					Path:   "/book",
				})
				So(err, ShouldNotBeNil)
				So(mgservice.KindOf(err), ShouldEqual, mgservice.Unknown)
			})
		}
	})
}
