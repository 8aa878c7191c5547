package mgrelay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// maxEndlessBytes is the most that a relay may read of bytes that are no answer, kernel buffers included.
const maxEndlessBytes = 16 << 20

// endlessly returns a handler that writes a beginning, and then a text until the connection is closed. It
// reports how many bytes were taken.
func endlessly(beginning, text string, taken chan<- int) upstreamHandler {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		count, err := io.WriteString(conn, beginning)
		for err == nil {
			var n int
			n, err = io.WriteString(conn, text)
			count += n
			if count > 4*maxEndlessBytes {
				time.Sleep(10 * time.Millisecond) // the test has failed, or the caller takes the bytes
			}
		}
		taken <- count
	}
}

// Guards against an upstream's endless bytes that fill a process's memory, keep a request beyond its time or
// look like a whole answer.
func TestEndlessBytesTakenForAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSignature: signed by a\r\nSoftware: v1\r\n"
	cases := []struct {
		name, beginning, text string
		target                string
		passedOn              bool // the bytes are the body of an answer, of any length
	}{
		{
			name: "no line end",
			text: strings.Repeat("x", 4096),
		},
		{
			name:      "header lines",
			beginning: ok,
			text:      strings.Repeat("X-More: more\r\n", 256),
		},
		{
			name: "interim responses",
			text: strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-More: more\r\n\r\n", 64),
		},
		{
			name:      "a chunk's size",
			beginning: ok + "Transfer-Encoding: chunked\r\n\r\n",
			text:      strings.Repeat("0", 4096),
		},
		{
			name:      "trailers",
			beginning: ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nread\r\n0\r\n",
			text:      strings.Repeat("X-More: more\r\n", 256),
		},
		{
			name:      "a refusal's body",
			beginning: "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: request-1\r\nRefused: 1\r\n\r\n",
			text:      strings.Repeat("x", 4096),
		},
		{
			name:      "a failure's body",
			beginning: "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: request-1\r\nSignature: signed by a\r\n\r\n",
			text:      strings.Repeat("x", 4096),
		},
		{
			name:      "an event",
			beginning: ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
			text:      strings.Repeat("x", 4096),
			target:    "/write/1",
		},
		{
			name:      "comments",
			beginning: ok + "Content-Type: text/event-stream\r\n\r\n",
			text:      strings.Repeat(": comment\n\n", 256),
			target:    "/write/1",
		},
		{
			name:      "a body without a length",
			beginning: ok + "\r\n",
			text:      strings.Repeat("x", 4096),
			passedOn:  true,
		},
		{
			name:      "chunks",
			beginning: ok + "Transfer-Encoding: chunked\r\n\r\n",
			text:      "1000\r\n" + strings.Repeat("x", 4096) + "\r\n",
			passedOn:  true,
		},
	}
	for _, c := range cases {
		Convey(fmt.Sprintf("An upstream that sends %s without end", c.name), t, func() {
			taken := make(chan int, 4)
			g := newHarness(t, endlessly(c.beginning, c.text, taken))
			target := c.target
			if target == "" {
				target = "/once/1"
			}
			answered := make(chan callerReply, 1)
			go func() {
				answered <- g.send(context.Background(), http.MethodPost, target, "x", http.Header{
					"Deadline": {"1000"},
				})
			}()
			select {
			case got := <-answered:
				So(got.cut || got.status >= http.StatusBadRequest, ShouldBeTrue)
			case <-time.After(10 * time.Second):
				So("no answer", ShouldBeEmpty)
			}
			select {
			case count := <-taken:
				if !c.passedOn {
					So(count, ShouldBeLessThan, maxEndlessBytes)
				}
			case <-time.After(10 * time.Second):
				So("the upstream's connection stays open", ShouldBeEmpty)
			}
		})
	}
}
