package mgengine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
)

// Guards against bytes that are no answer of an engine and count as a start, a report, tokens or a refusal.
func TestMalformedEngineAnswerAccepted(t *testing.T) {
	Convey("A call fails, and may have run, if the engine's answer has", t, func() {
		for _, c := range []struct {
			name, head string
		}{
			{
				name: "the status 000",
				head: "HTTP/1.1 000 OK\r\n",
			},
			{
				name: "a field whose name ends with a blank",
				head: "HTTP/1.1 200 OK\r\nNote : a\r\n",
			},
			{
				name: "a field whose name holds a control byte",
				head: "HTTP/1.1 200 OK\r\nNo\x01te: a\r\n",
			},
			{
				name: "a refusal's status, and a field whose name holds a blank",
				head: "HTTP/1.1 409 Conflict\r\nBad Name: a\r\n",
			},
		} {
			Convey(c.name, func() {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
						_, _ = io.WriteString(conn, c.head+"Content-Length: 2\r\n\r\n{}")
						_ = conn.Close()
					}
				}))
				defer server.Close()
				client, ctx := mgengine.NewHTTP(server.URL, nil), context.Background()
				_, loadErr := client.Load(ctx)
				_, streamErr := client.Stream(ctx, "a", 1)
				for _, err := range []error{
					client.Start(ctx, mgengine.StartSpec{ID: "a"}),
					client.Cancel(ctx, "a"),
					loadErr,
					streamErr,
				} {
					So(err, ShouldNotBeNil)
					So(mgengine.KindOf(err), ShouldEqual, mgengine.Unknown)
				}
			})
		}
	})
}
