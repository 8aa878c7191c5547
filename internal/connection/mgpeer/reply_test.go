package mgpeer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
)

// fetchFrom fetches from a process that answers with bytes.
func fetchFrom(answer string) error {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, answer)
	}))
	defer server.Close()
	transport := newGuard("present-secret-0001", "").Transport(true)
	client := mgrpc.NewPeerProtobufClient(server.URL, &http.Client{Transport: transport})
	_, err := client.Fetch(context.Background(), &mgrpc.FetchRequest{})
	return err
}

// Guards against a reply that is no answer, or may be cut, and that is decoded as a whole one: a message without its
// last fields is a valid one.
func TestBrokenReplyDecoded(t *testing.T) {
	const header = "Content-Type: application/protobuf\r\n"
	Convey("A call of another process fails if the reply", t, func() {
		for _, c := range []struct {
			name, answer string
		}{
			{
				name:   "has neither a length nor chunks",
				answer: "HTTP/1.1 200 OK\r\n" + header + "\r\n",
			},
			{
				name:   "has a length whose name ends with a blank",
				answer: "HTTP/1.1 200 OK\r\n" + header + "Content-Length : 0\r\n\r\n",
			},
			{
				name:   "has a field whose name holds a blank",
				answer: "HTTP/1.1 200 OK\r\n" + header + "Bad Name: a\r\nContent-Length: 0\r\n\r\n",
			},
			{
				name:   "has a trailer whose name holds a blank",
				answer: "HTTP/1.1 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n0\r\nBad Name: a\r\n\r\n",
			},
			{
				name:   "has the status 000",
				answer: "HTTP/1.1 000 OK\r\n" + header + "Content-Length: 0\r\n\r\n",
			},
		} {
			Convey(c.name, func() {
				So(fetchFrom(c.answer), ShouldNotBeNil)
			})
		}
	})
	Convey("A whole reply is decoded", t, func() {
		So(fetchFrom("HTTP/1.1 200 OK\r\n"+header+"Content-Length: 0\r\n\r\n"), ShouldBeNil)
	})
}
