package mgengine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
)

// Guards against an engine's answer that is cut inside its head and counts as a start, as a whole stream, or as
// the end of a generation.
func TestEngineAnswerCutInHeadLooksWhole(t *testing.T) {
	Convey("A call whose answer is cut inside its head fails", t, func() {
		for _, framing := range []string{"Content-Length: 2\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", ""} {
			head := "HTTP/1.1 200 OK\r\n" + framing + "Content-Type: application/json\r\n"
			var end atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
					_, _ = io.WriteString(conn, head[:end.Load()])
					_ = conn.Close()
				}
			}))
			client := mgengine.NewHTTP(server.URL, nil)
			ctx := context.Background()
			calls := map[string]func() error{
				"start": func() error { return client.Start(ctx, mgengine.StartSpec{ID: "a"}) },
				"stream": func() error {
					stream, err := client.Stream(ctx, "a", 1)
					if err != nil {
						return err
					}
					defer stream.Close()
					_, err = stream.Next(ctx)
					return err
				},
				"cancel": func() error { return client.Cancel(ctx, "a") },
				"move": func() error {
					_, err := client.Move(ctx, mgengine.MoveSpec{ID: "a"})
					return err
				},
			}
			for n := range len(head) + 1 {
				end.Store(int64(n))
				for name, call := range calls {
					if err := call(); err == nil || mgengine.KindOf(err) == mgengine.NotStarted || mgengine.KindOf(err) == mgengine.Missing {
						t.Fatalf("%s: %v for the head %q", name, err, head[:n])
					}
				}
			}
			server.Close()
		}
	})
}
