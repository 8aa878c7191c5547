package mgservice_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgservice"
)

// Guards against a reply whose service closes inside its head and that is taken for a whole one.
func TestReplyCutInHeadLooksWhole(t *testing.T) {
	Convey("A call whose reply is cut inside its head fails, and may have run", t, func() {
		for _, framing := range []string{"Content-Length: 92\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", ""} {
			head := "HTTP/1.1 200 OK\r\n" + framing + "Content-Type: text/plain\r\n"
			var end atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
					_, _ = io.WriteString(conn, head[:end.Load()])
					_ = conn.Close()
				}
			}))
			client := mgservice.NewHTTP(server.URL, nil)
			for n := range len(head) + 1 {
				end.Store(int64(n))
				_, err := client.Call(context.Background(), mgservice.CallSpec{
					Method: http.MethodPost,
					Path:   "/book",
				})
				if err == nil || mgservice.KindOf(err) != mgservice.Unknown {
					t.Fatalf("%v for the head %q", err, head[:n])
				}
			}
			server.Close()
		}
	})
}
