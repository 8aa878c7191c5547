package mgrelay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
)

// answerHeader has what an answer needs to be passed on.
const answerHeader = "Request-Id: request-1\r\nSignature: s\r\nSoftware: v1\r\n"

// malformedStatusLines are answers with a length whose first line isn't that of a final response in HTTP/1.1
// (RFC 9112, 4).
func malformedStatusLines() map[string]string {
	const body = answerHeader + "Content-Length: 6\r\n\r\nbooked"
	answers := map[string]string{
		"a switch of protocols": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n" + body,
	}
	for _, status := range []string{"000", "001", "042", "099", "+20", "-20", "600", "999", "1000", "20", "2xx", "2\x000", "٢٠٠", ""} {
		answers["the status "+status] = "HTTP/1.1 " + status + " OK\r\n" + body
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "http/1.1", "HTTP/1.1\x00"} {
		answers["the version "+version] = version + " 200 OK\r\n" + body
	}
	return answers
}

// checkNotPassedOn checks that no caller gets one of the answers, nor an end of its connection in place of one.
func checkNotPassedOn(t *testing.T, answers map[string]string) {
	requests := []struct {
		name, path string
		isSafe     bool
	}{
		{
			name:   "a request that may be repeated",
			path:   "/look/1",
			isSafe: true,
		},
		{
			name: "a request that may not be repeated",
			path: "/book/1",
		},
		{
			name: "a stream",
			path: "/write/1",
		},
	}
	for _, name := range slices.Sorted(maps.Keys(answers)) {
		for _, r := range requests {
			Convey(fmt.Sprintf("To %s, %s is no answer", r.name, name), t, func() {
				g := newHarness(t, rawBytes(answers[name]), answerWith("read"))
				got := g.send(context.Background(), http.MethodPost, r.path, "x", nil)
				So(got.cut, ShouldBeFalse)
				if r.isSafe {
					So(got.status, ShouldEqual, http.StatusOK)
					So(got.body, ShouldEqual, "read")
					So(len(g.requests()), ShouldEqual, 2)
					return
				}
				So(got.status, ShouldEqual, http.StatusBadGateway)
				So(got.header.Get("Signature"), ShouldBeEmpty)
				So(got.body, ShouldNotContainSubstring, "booked")
				So(len(g.requests()), ShouldEqual, 1)
			})
		}
	}
}

// Guards against an answer with a status that is none, which is passed on or ends the caller's connection.
func TestMalformedStatusTakenForAnswer(t *testing.T) { checkNotPassedOn(t, malformedStatusLines()) }

// Guards against an upstream that answers what is no answer, and that isn't counted as faulty, or is counted as
// unreachable or as lost with the request.
func TestMalformedAnswerMisattributed(t *testing.T) {
	Convey("An upstream whose answer is malformed is counted as faulty, and as one that answers", t, func() {
		g := newHarness(t, rawBytes("HTTP/1.1 000 OK\r\n"+answerHeader+"Content-Length: 0\r\n\r\n"))
		metrics := mgmetric.New()
		reportedFailed := false
		g.startRelay(func(spec *mgrelay.Spec) {
			spec.Metrics = metrics
			spec.ReportFailed = func(string) { reportedFailed = true }
		})
		got := g.send(context.Background(), http.MethodPost, "/once/1", "x", nil)
		So(got.status, ShouldEqual, http.StatusBadGateway)
		So(metrics.Counter("relay.garbled").Count(), ShouldEqual, 1)
		So(reportedFailed, ShouldBeFalse)
	})
}

// Guards against a sound answer that is refused because of what its head may hold.
func TestUnusualHeadRefused(t *testing.T) {
	const header = answerHeader + "Content-Length: 6\r\n"
	cases := []struct {
		name, text string
	}{
		{
			name: "no reason phrase",
			text: "HTTP/1.1 200\r\n" + header + "\r\nbooked",
		},
		{
			name: "an empty reason phrase",
			text: "HTTP/1.1 200 \r\n" + header + "\r\nbooked",
		},
		{
			name: "lines that end with LF alone",
			text: strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+header+"\r\n", "\r\n", "\n") + "booked",
		},
		{
			name: "interim responses",
			text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + header + "\r\nbooked",
		},
		{
			name: "values with tabs, blanks, colons and obs-text, and an empty one",
			text: "HTTP/1.1 200 OK\r\n" + header + "Note:\ta b:\xe9 \t\r\nEmpty:\r\n!#$%&'*+-.^_`|~9: a\r\n\r\nbooked",
		},
	}
	for _, c := range cases {
		Convey(fmt.Sprintf("An answer with %s is passed on, however its bytes arrive", c.name), t, func() {
			for _, size := range []int{1, 7, len(c.text)} {
				g := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						return
					}
					defer conn.Close()
					for rest := c.text; rest != ""; {
						n := min(size, len(rest))
						_, _ = io.WriteString(conn, rest[:n])
						rest = rest[n:]
					}
					_, _ = bufio.NewReader(conn).ReadByte()
				})
				got := g.send(context.Background(), http.MethodPost, "/once/1", "x", nil)
				So(got.cut, ShouldBeFalse)
				So(got.status, ShouldEqual, http.StatusOK)
				So(got.body, ShouldEqual, "booked")
			}
		})
	}
}
