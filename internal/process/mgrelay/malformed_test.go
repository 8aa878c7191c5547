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

// malformedFields are answers with a field that isn't one in HTTP/1.1 (RFC 9112, 5), or in whose fields two readers
// find different ends of the body.
func malformedFields() map[string]string {
	const head = "HTTP/1.1 200 OK\r\n" + answerHeader
	const chunks = "\r\n6\r\nbooked\r\n0\r\n\r\n"
	answers := map[string]string{
		"a length whose name ends with a blank": head + "Content-Length : 3\r\n\r\nbooked",
		"a length whose name holds a blank":     head + "Content Length: 3\r\n\r\nbooked",
		"a length whose name begins with one":   head + " Content-Length: 3\r\n\r\nbooked",
		"chunks whose name ends with a blank":   head + "Transfer-Encoding : chunked\r\n" + chunks,
		"chunks in HTTP/1.0":                    "HTTP/1.0 200 OK\r\n" + answerHeader + "Transfer-Encoding: chunked\r\n" + chunks,
		"a folded line":                         head + "Content-Length: 6\r\nNote: a\r\n b\r\n\r\nbooked",
		"a name with a blank before an interim": "HTTP/1.1 103 Early Hints\r\nBad Name: a\r\n\r\n" + head + "Content-Length: 6\r\n\r\nbooked",
	}
	for _, name := range []string{"Bad Name", "Note ", " Note", "\tNote", "Note\t", "No\tte", "No\x01te", "No\x00te", "No\x7fte", "No\x0bte", "No\rte", "No\"te", "No(te", "Nöte", ""} {
		answers[fmt.Sprintf("a field named %q", name)] = head + name + ": a\r\nContent-Length: 6\r\n\r\nbooked"
	}
	for _, value := range []string{"a\x00b", "a\x01b", "a\rb", "a\x7fb"} {
		answers[fmt.Sprintf("the value %q", value)] = head + "Note: " + value + "\r\nContent-Length: 6\r\n\r\nbooked"
	}
	return answers
}

// malformedTrailers are answers in chunks after which a field comes that isn't one.
func malformedTrailers() map[string]string {
	const head = "HTTP/1.1 200 OK\r\n" + answerHeader + "Transfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n0\r\n"
	answers := map[string]string{}
	for _, name := range []string{"Bad Name", "Note ", "No\x01te", ""} {
		answers[fmt.Sprintf("a trailer named %q", name)] = head + name + ": a\r\n\r\n"
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

// Guards against an answer with a field that isn't one, whose line is passed on or whose body isn't the upstream's.
func TestMalformedFieldTakenForAnswer(t *testing.T) { checkNotPassedOn(t, malformedFields()) }

// Guards against an answer after whose chunks a field comes that isn't one.
func TestMalformedTrailerTakenForAnswer(t *testing.T) { checkNotPassedOn(t, malformedTrailers()) }

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
