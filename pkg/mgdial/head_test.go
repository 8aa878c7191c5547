package mgdial

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a malformed response that is accepted, or a sound one that isn't, over TLS.
func TestHeadUncheckedOverTLS(t *testing.T) {
	Convey("Over TLS", t, func() {
		text := ""
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				_, _ = io.WriteString(conn, text)
				_ = conn.Close()
			}
		}))
		Reset(server.Close)
		trusting := newClient((&net.Dialer{}).DialContext, server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs)
		do := func(client *http.Client) (*http.Response, error) {
			request, err := http.NewRequest(http.MethodGet, server.URL, nil)
			So(err, ShouldBeNil)
			return Do(client, request)
		}
		Convey("a sound response is accepted", func() {
			text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nread"
			response, err := do(trusting)
			So(err, ShouldBeNil)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "read")
		})
		Convey("a malformed one isn't, and the request may have run", func() {
			text = "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nread"
			_, err := do(trusting)
			var malformed *MalformedError
			So(errors.As(err, &malformed), ShouldBeTrue)
			var failure *Failure
			So(errors.As(err, &failure), ShouldBeTrue)
			So(failure.Sent(), ShouldBeTrue)
		})
		Convey("nothing is sent to a server that isn't trusted", func() {
			_, err := do(newClient((&net.Dialer{}).DialContext, nil))
			var failure *Failure
			So(errors.As(err, &failure), ShouldBeTrue)
			So(failure.Sent(), ShouldBeFalse)
		})
	})
}

// FuzzHeadInPieces guards against a head that is judged by how its bytes arrive.
func FuzzHeadInPieces(f *testing.F) {
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nNote: a\r\n\r\nbody\n"))
	f.Add([]byte("HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n"))
	f.Add([]byte("HTTP/1.1 000\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var whole, pieces headScanner
		_ = whole.scan(data)
		for i := range data {
			_ = pieces.scan(data[i : i+1])
		}
		if whole.isDone != pieces.isDone || (whole.err == nil) != (pieces.err == nil) {
			t.Fatalf("in one piece: done %v, %v; in pieces: done %v, %v", whole.isDone, whole.err, pieces.isDone, pieces.err)
		}
	})
}
