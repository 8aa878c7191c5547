package mgclient_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclient"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Guards against bytes of an entry that are no answer and are returned as a reply, or repeat a call that may have
// run.
func TestMalformedAnswerReturned(t *testing.T) {
	Convey("A call that may not be repeated is unconfirmed, and made once, if the answer has", t, func() {
		for _, c := range []struct {
			name, answer string
		}{
			{
				name:   "the status 000",
				answer: "HTTP/1.1 000 OK\r\nContent-Length: 6\r\n\r\nbooked",
			},
			{
				name:   "a length whose name ends with a blank",
				answer: "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nbooked",
			},
			{
				name:   "a promise, and a field whose name holds a blank",
				answer: "HTTP/1.1 503 Service Unavailable\r\nBad Name: a\r\nContent-Length: 0\r\n\r\n",
			},
		} {
			Convey(c.name, func() {
				entries := newFakeEntries(func(w http.ResponseWriter, _ *http.Request) {
					if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
						_, _ = io.WriteString(conn, c.answer)
						_ = conn.Close()
					}
				})
				client := mgclient.New(mgclient.Spec{
					Bases: entries.bases,
				})
				_, err := client.Call(context.Background(), mgclient.CallSpec{
					Service: "ledger",
					Method:  http.MethodPost,
					Path:    "/book",
				})
				var problem *mgproblem.Problem
				So(errors.As(err, &problem), ShouldBeTrue)
				So(problem.Outcome(), ShouldEqual, mgproblem.Unknown)
				So(len(entries.requests()), ShouldEqual, 1)
			})
		}
	})
}
