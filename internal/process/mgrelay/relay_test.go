package mgrelay_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against a path, query or body that is changed while it is forwarded. It
// would be a different call: the service would book something that nobody requested.
func TestRequestAlteredInTransit(t *testing.T) {
	targets := []string{
		"/book/2f",
		"/book/a%2Fb%20c?x=1&x=2&y=%C3%A9",
		"/book/a//b/../c",
		"/book/?",
		"/book/;v=1?q=a+b",
	}
	Convey("An upstream receives what the caller sent", t, func() {
		g := newHarness(t, answerWith("booked"))
		for _, target := range targets {
			Convey(target, func() {
				got := g.send(context.Background(), http.MethodPost, target, `{"barrels":1}`, http.Header{
					"X-Own":         {"one", "two"},
					"Account":       {"another"},
					"Upstream":      {"another"},
					"Connection":    {"X-Hop"},
					"X-Hop":         {"1"},
					"Last-Event-Id": {"4"},
				})
				So(got.status, ShouldEqual, http.StatusOK)
				So(got.body, ShouldEqual, "booked")
				So(got.header.Get("Signature"), ShouldEqual, "signed by a")
				requests := g.requests()
				request := requests[len(requests)-1]
				So(request.method, ShouldEqual, http.MethodPost)
				So(request.target, ShouldEqual, target)
				So(request.body, ShouldEqual, `{"barrels":1}`)
				So(request.header["X-Own"], ShouldResemble, []string{"one", "two"})
				So(request.header.Get("Request-Id"), ShouldEqual, "request-1")
				So(request.header.Get("Account"), ShouldEqual, "tankline")
				So(request.header.Get("Upstream"), ShouldEqual, "a")
				So(request.header.Get("Last-Event-Id"), ShouldEqual, "4")
				So(request.header, ShouldNotContainKey, "Authorization")
				So(request.header, ShouldNotContainKey, "X-Hop")
				So(request.header, ShouldNotContainKey, "User-Agent")
			})
		}
	})
}

// Guards against an engine that works for seconds on an answer that nobody waits for
// any more, because it received the caller's whole deadline again, or because its
// connection stayed open after the caller had disconnected.
func TestUpstreamWorksPastDeadline(t *testing.T) {
	Convey("An upstream receives the remaining time of the deadline", t, func() {
		g := newHarness(t, answerWith("a"))
		got := g.send(context.Background(), http.MethodPost, "/look/1", "", http.Header{
			"Deadline": {"900"},
		})
		So(got.status, ShouldEqual, http.StatusOK)
		left, err := strconv.Atoi(g.requests()[0].header.Get("Deadline"))
		So(err, ShouldBeNil)
		So(left, ShouldBeBetweenOrEqual, 1, 900)
	})
	Convey("The route's timeout bounds the deadline", t, func() {
		g := newHarness(t, answerWith("a"))
		g.send(context.Background(), http.MethodPost, "/look/1", "", http.Header{
			"Deadline": {"60000"},
		})
		left, _ := strconv.Atoi(g.requests()[0].header.Get("Deadline"))
		So(left, ShouldBeBetweenOrEqual, 1, 5000)
	})
	Convey("A request that times out is answered as possibly run", t, func() {
		released := make(chan struct{})
		g := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(released)
		})
		got := g.send(context.Background(), http.MethodPost, "/book/1", "x", http.Header{
			"Deadline": {"50"},
		})
		So(got.status, ShouldEqual, http.StatusGatewayTimeout)
		<-released
	})
	Convey("When a caller disconnects its upstream's work is cancelled", t, func() {
		began := make(chan struct{})
		released := make(chan struct{})
		g := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
			close(began)
			<-r.Context().Done()
			close(released)
		})
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			<-began
			leave()
		}()
		g.send(ctx, http.MethodPost, "/write/1", "x", nil)
		<-released
	})
}

// Guards against treating a deadline that can't be parsed as no deadline.
func TestUnreadableDeadlineIgnored(t *testing.T) {
	Convey("A request with an invalid deadline does not run", t, func() {
		g := newHarness(t, answerWith("a"))
		got := g.send(context.Background(), http.MethodPost, "/book/1", "x", http.Header{
			"Deadline": {"soon"},
		})
		So(got.status, ShouldEqual, http.StatusBadRequest)
		So(strings.Contains(got.body, "deadline"), ShouldBeTrue)
		So(g.requests(), ShouldBeEmpty)
	})
}

// Guards against an entry that stops within eight seconds and yet accepts a
// generation of nine, which then breaks off, or that refuses a lookup although the
// time left is ample, a hundred times what the lookup takes.
func TestStoppingEntryTakesLongRequest(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		tokens string
		left   mgclock.Millis
		status int
	}{
		{
			name:   "a report that doesn't end in time is refused",
			path:   "/write/1",
			tokens: "3000,900",
			left:   4 * mgclock.Second,
			status: http.StatusServiceUnavailable,
		},
		{
			name:   "a note that ends in time is accepted",
			path:   "/write/1",
			tokens: "2000,20",
			left:   4 * mgclock.Second,
			status: http.StatusOK,
		},
		{
			name:   "a lookup is accepted",
			path:   "/look/1",
			left:   4 * mgclock.Second,
			status: http.StatusOK,
		},
		{
			name:   "a lookup at the last moment is refused",
			path:   "/look/1",
			left:   100,
			status: http.StatusServiceUnavailable,
		},
	}
	Convey("While the entry stops", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := newHarness(t, answerWith("id: 1\n\n"))
				g.startRelay(func(spec *mgrelay.Spec) {
					spec.TimeLeft = func() (mgclock.Millis, bool) { return c.left, true }
				})
				got := g.send(context.Background(), http.MethodPost, c.path, "x", http.Header{
					"Tokens": {c.tokens},
					"Hint":   {strings.TrimPrefix(c.tokens, "3000,")},
				})
				So(got.status, ShouldEqual, c.status)
				So(len(g.requests()) > 0, ShouldEqual, c.status == http.StatusOK)
			})
		}
	})
}

// Guards against a refusal or failure of an upstream that is cut at the size of the buffer and
// looks complete.
func TestLongFailureLooksComplete(t *testing.T) {
	answerLong := func(status int, refuses bool) upstreamHandler {
		return func(w http.ResponseWriter, _ *http.Request) {
			if refuses {
				w.Header().Set("Refused", "1")
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, strings.Repeat("x", 300<<10))
		}
	}
	Convey("An upstream's answer of 300 KiB", t, func() {
		Convey("that it failed is replaced by a problem that says that the request may have run", func() {
			g := newHarness(t, answerLong(http.StatusInternalServerError, false))
			got := g.send(context.Background(), http.MethodPost, "/once/1", "x", nil)
			So(got.status, ShouldEqual, http.StatusBadGateway)
			So(got.body, ShouldContainSubstring, `"unknown"`)
		})
		Convey("that it refuses the request is replaced by a problem that says that it has not run", func() {
			g := newHarness(t, answerLong(http.StatusServiceUnavailable, true))
			got := g.send(context.Background(), http.MethodPost, "/once/1", "x", nil)
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.body, ShouldContainSubstring, `"notrun"`)
		})
	})
}
