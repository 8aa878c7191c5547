package mgrelay_test

import (
	"context"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
)

// Guards against a booking (the route /book/) that runs twice: its answer is lost and
// the relay sends it to the next host of the service, or the caller gets "not run"
// although it ran, and repeats it.
func TestRequestRunsTwice(t *testing.T) {
	cases := []struct {
		name          string
		path          string
		handlers      []upstreamHandler
		requests      int
		status        int
		cut           bool
		hasRetryAfter bool
	}{
		{
			name:     "a write whose answer is lost is not repeated",
			path:     "/book/1",
			handlers: []upstreamHandler{hangUp, answerWith("b")},
			requests: 1,
			status:   http.StatusBadGateway,
		},
		{
			name:     "a write that failed at its host is not repeated",
			path:     "/book/1",
			handlers: []upstreamHandler{failInternally, answerWith("b")},
			requests: 1,
			status:   http.StatusInternalServerError,
		},
		{
			name:     "a write that a host refused goes to the next",
			path:     "/book/1",
			handlers: []upstreamHandler{refuseWith(http.StatusServiceUnavailable), answerWith("b")},
			requests: 2,
			status:   http.StatusOK,
		},
		{
			name:     "a write that reached another host at the address goes to the next",
			path:     "/book/1",
			handlers: []upstreamHandler{refuseWith(http.StatusMisdirectedRequest), answerWith("b")},
			requests: 2,
			status:   http.StatusOK,
		},
		{
			name:          "a write that may go to one host only is refused with Retry-After",
			path:          "/once/1",
			handlers:      []upstreamHandler{refuseWith(http.StatusServiceUnavailable), answerWith("b")},
			requests:      1,
			status:        http.StatusServiceUnavailable,
			hasRetryAfter: true,
		},
		{
			name:     "a host's own 503 without the refusal header doesn't mean not run",
			path:     "/book/1",
			handlers: []upstreamHandler{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, answerWith("b")},
			requests: 1,
			status:   http.StatusBadGateway,
		},
		{
			name:     "a lookup whose answer is lost is repeated",
			path:     "/look/1",
			handlers: []upstreamHandler{hangUp, answerWith("b")},
			requests: 2,
			status:   http.StatusOK,
		},
		{
			name:     "a lookup that failed is repeated once",
			path:     "/look/1",
			handlers: []upstreamHandler{failInternally, failInternally, answerWith("c")},
			requests: 2,
			status:   http.StatusInternalServerError,
		},
		{
			name:     "a lookup that failed and was then refused has run",
			path:     "/look/1",
			handlers: []upstreamHandler{hangUp, refuseWith(http.StatusServiceUnavailable)},
			requests: 2,
			status:   http.StatusBadGateway,
		},
		{
			name:     "a lookup whose answer breaks off is repeated",
			path:     "/look/1",
			handlers: []upstreamHandler{rawBytes("HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhal"), answerWith("b")},
			requests: 2,
			status:   http.StatusOK,
		},
	}
	Convey("After a failure", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := newHarness(t, c.handlers...)
				got := g.send(context.Background(), http.MethodPost, c.path, "x", nil)
				So(len(g.requests()), ShouldEqual, c.requests)
				So(got.status, ShouldEqual, c.status)
				So(got.header.Get("Retry-After") != "", ShouldEqual, c.hasRetryAfter)
			})
		}
	})
}

// Guards against counting a failed connection as an attempt. If a host has crashed
// and its address refuses connections, nothing was sent, so even a write may go to
// the next host.
func TestFailedDialCountsAsAttempt(t *testing.T) {
	Convey("A host that can't be reached counts as no attempt", t, func() {
		g := newHarness(t, answerWith("a"))
		g.hosts = append(g.hosts[:0:0], g.hosts[0], g.hosts[0])
		g.hosts[0].Addr = "127.0.0.1:1"
		g.hosts[0].Name = "gone"
		got := g.send(context.Background(), http.MethodPost, "/once/1", "x", nil)
		So(got.status, ShouldEqual, http.StatusOK)
		So(got.body, ShouldEqual, "a")
	})
	Convey("If no host can be reached the caller gets \"not run\"", t, func() {
		g := newHarness(t, answerWith("a"))
		g.hosts[0].Addr = "127.0.0.1:1"
		got := g.send(context.Background(), http.MethodPost, "/once/1", "x", nil)
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
	})
	Convey("If no host is known Retry-After is the time until there may be one", t, func() {
		// With a Retry-After of a tenth of a second callers retry once, too early:
		// expired list entries are listed again within two seconds.
		g := newHarness(t)
		g.startRelay(func(spec *mgrelay.Spec) { spec.Headers.RetryAfterFractions = true })
		got := g.send(context.Background(), http.MethodPost, "/once/1", "x", nil)
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.header.Get("Retry-After"), ShouldEqual, "1.000")
	})
}

// Guards against a caller that takes half an answer, or another caller's, for its own
// complete one: an upstream broke off, or its bytes were not an answer to this
// request, and the relay forwarded them anyway.
func TestForeignOrPartialAnswerDelivered(t *testing.T) {
	signed := "HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSignature: s\r\n"
	cases := []struct {
		name     string
		path     string
		handlers []upstreamHandler
		got      string // the body that the caller may receive, whole or until it breaks off
		whole    bool
	}{
		{
			name:     "an answer for another request",
			path:     "/book/1",
			handlers: []upstreamHandler{rawBytes("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSignature: s\r\nContent-Length: 5\r\n\r\nother")},
		},
		{
			name:     "an answer without a signature",
			path:     "/book/1",
			handlers: []upstreamHandler{rawBytes("HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nContent-Length: 5\r\n\r\nother")},
		},
		{
			name:     "an answer that breaks off",
			path:     "/book/1",
			handlers: []upstreamHandler{rawBytes(signed + "Content-Length: 9\r\n\r\nhalf")},
		},
		{
			name:     "a chunked answer that breaks off",
			path:     "/book/1",
			handlers: []upstreamHandler{rawBytes(signed + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")},
		},
		{
			name:     "bytes that are no answer",
			path:     "/book/1",
			handlers: []upstreamHandler{rawBytes("\x00\x01\x02 nonsense\r\n\r\n")},
		},
		{
			name:     "a second answer after the first",
			path:     "/book/1",
			handlers: []upstreamHandler{rawBytes(signed + "Content-Length: 5\r\n\r\nright" + signed + "Content-Length: 5\r\n\r\nwrong")},
			got:      "right",
			whole:    true,
		},
		{
			name:     "an answer that ends with its connection",
			path:     "/book/1",
			handlers: []upstreamHandler{rawBytes(signed + "\r\nright")},
			got:      "right",
			whole:    true,
		},
		{
			name:     "a stream that stops in the middle of an event",
			path:     "/write/1",
			handlers: []upstreamHandler{rawBytes(signed + "Transfer-Encoding: chunked\r\n\r\n16\r\nid: 1\ndata: a\n\nid: 2\r\n")},
			got:      "id: 1\ndata: a\n\n",
		},
		{
			name:     "a stream that stops between two events",
			path:     "/write/1",
			handlers: []upstreamHandler{rawBytes(signed + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n")},
			got:      "id: 1\ndata: a\n\n",
		},
		{
			name:     "a whole stream",
			path:     "/write/1",
			handlers: []upstreamHandler{rawBytes(signed + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n")},
			got:      "id: 1\ndata: a\n\n",
			whole:    true,
		},
	}
	Convey("An answer appears complete to the caller only if it is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := newHarness(t, c.handlers...)
				got := g.send(context.Background(), http.MethodPost, c.path, "x", nil)
				So(got.status == http.StatusOK && !got.cut, ShouldEqual, c.whole)
				if got.status == http.StatusOK {
					So(got.body, ShouldEqual, c.got)
				}
				So(got.body, ShouldNotContainSubstring, "other")
			})
		}
	})
}

// Guards against an address that attracts all requests: engines crash while the
// platform is unavailable, and their addresses are reused by another service, which
// answers each request at once as misdirected, runs none of our requests and so
// appears least loaded.
func TestReusedAddressAttractsRequests(t *testing.T) {
	cases := []struct {
		name     string
		instance string
		departed []string
	}{
		{
			name:     "another upstream has the address",
			instance: "other",
			departed: []string{"a"},
		},
		{
			name:     "the upstream itself refuses, because of the requested weights",
			instance: "a",
		},
		{
			name: "the answer doesn't name its upstream",
		},
	}
	Convey("Whether an upstream whose address answers \"misdirected\" is reported as gone, when", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
					if c.instance != "" {
						w.Header().Set("Instance", c.instance)
					}
					w.WriteHeader(http.StatusMisdirectedRequest)
				}, answerWith("b"))
				var departed []string
				g.startRelay(func(spec *mgrelay.Spec) {
					spec.ReportDeparted = func(name string) { departed = append(departed, name) }
				})
				got := g.send(context.Background(), http.MethodPost, "/book/1", "x", nil)
				So(got.status, ShouldEqual, http.StatusOK)
				So(got.body, ShouldEqual, "b")
				So(departed, ShouldResemble, c.departed)
			})
		}
	})
}
