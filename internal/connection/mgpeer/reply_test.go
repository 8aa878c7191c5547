package mgpeer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgpeer"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
)

// maxEndlessBytes is the most that a process may read of a reply without end, kernel buffers included.
const maxEndlessBytes = 24 << 20

// fetchFrom fetches from a process that answers with bytes, and then with a text until its connection is closed. It
// returns how many bytes were taken.
func fetchFrom(answer, endless string) (taken int64, err error) {
	var count atomic.Int64
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(done)
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = io.WriteString(conn, answer)
		for err == nil && endless != "" && count.Load() < 4*maxEndlessBytes {
			var n int
			n, err = io.WriteString(conn, endless)
			count.Add(int64(n))
		}
	}))
	defer server.Close()
	transport := mgpeer.LimitReplies(newGuard("present-secret-0001", "").Transport(true))
	client := mgrpc.NewPeerProtobufClient(server.URL, &http.Client{Transport: transport})
	_, err = client.Fetch(context.Background(), &mgrpc.FetchRequest{})
	<-done
	return count.Load(), err
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
				_, err := fetchFrom(c.answer, "")
				So(err, ShouldNotBeNil)
			})
		}
	})
	Convey("A whole reply is decoded", t, func() {
		_, err := fetchFrom("HTTP/1.1 200 OK\r\n"+header+"Content-Length: 0\r\n\r\n", "")
		So(err, ShouldBeNil)
	})
}

// Guards against a reply without end that fills a process's memory.
func TestEndlessReplyKept(t *testing.T) {
	Convey("A call of another process ends in time if the reply has no end in", t, func() {
		for _, c := range []struct {
			name, answer, endless string
		}{
			{
				name:    "its chunks",
				answer:  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
				endless: "1000\r\n" + strings.Repeat("x", 4096) + "\r\n",
			},
			{
				name:    "the chunks of a failure",
				answer:  "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n",
				endless: "1000\r\n" + strings.Repeat("x", 4096) + "\r\n",
			},
			{
				name:    "its length",
				answer:  "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
				endless: strings.Repeat("x", 4096),
			},
			{
				name:    "its body",
				answer:  "HTTP/1.1 200 OK\r\n\r\n",
				endless: strings.Repeat("x", 4096),
			},
			{
				name:    "its head",
				answer:  "HTTP/1.1 200 OK\r\n",
				endless: strings.Repeat("X-More: more\r\n", 256),
			},
			{
				name:    "interim responses",
				endless: strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-More: more\r\n\r\n", 64),
			},
		} {
			Convey(c.name, func() {
				taken, err := fetchFrom(c.answer, c.endless)
				So(err, ShouldNotBeNil)
				So(taken, ShouldBeLessThan, maxEndlessBytes)
			})
		}
	})
}
