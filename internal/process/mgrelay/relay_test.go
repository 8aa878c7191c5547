package mgrelay_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A call whose path, query or body changed on the way is another call: the
// service books what nobody asked for.
func TestUnchanged(t *testing.T) {
	targets := []string{
		"/book/2f",
		"/book/a%2Fb%20c?x=1&x=2&y=%C3%A9",
		"/book/a//b/../c",
		"/book/?",
		"/book/;v=1?q=a+b",
	}
	Convey("An upstream gets what the caller sent", t, func() {
		g := open(t, say("booked"))
		for _, target := range targets {
			Convey(target, func() {
				got := g.ask(context.Background(), http.MethodPost, target, `{"barrels":1}`, http.Header{
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
				runs := g.runs()
				run := runs[len(runs)-1]
				So(run.method, ShouldEqual, http.MethodPost)
				So(run.target, ShouldEqual, target)
				So(run.body, ShouldEqual, `{"barrels":1}`)
				So(run.header["X-Own"], ShouldResemble, []string{"one", "two"})
				So(run.header.Get("Request-Id"), ShouldEqual, "request-1")
				So(run.header.Get("Account"), ShouldEqual, "tankline")
				So(run.header.Get("Upstream"), ShouldEqual, "a")
				So(run.header.Get("Last-Event-Id"), ShouldEqual, "4")
				So(run.header, ShouldNotContainKey, "Authorization")
				So(run.header, ShouldNotContainKey, "X-Hop")
				So(run.header, ShouldNotContainKey, "User-Agent")
			})
		}
	})
}

// An engine works for seconds on an answer that nobody waits for any more: it
// was told the caller's whole deadline again, or nobody told it that the caller
// had left.
func TestTimeLeft(t *testing.T) {
	Convey("An upstream learns what is left of the deadline", t, func() {
		g := open(t, say("a"))
		got := g.ask(context.Background(), http.MethodPost, "/look/1", "", http.Header{
			"Deadline": {"900"},
		})
		So(got.status, ShouldEqual, http.StatusOK)
		left, err := strconv.Atoi(g.runs()[0].header.Get("Deadline"))
		So(err, ShouldBeNil)
		So(left, ShouldBeBetweenOrEqual, 1, 900)
	})
	Convey("The route's timeout is the longest", t, func() {
		g := open(t, say("a"))
		g.ask(context.Background(), http.MethodPost, "/look/1", "", http.Header{
			"Deadline": {"60000"},
		})
		left, _ := strconv.Atoi(g.runs()[0].header.Get("Deadline"))
		So(left, ShouldBeBetweenOrEqual, 1, 5000)
	})
	Convey("A request that is over is answered, and says that it may have run", t, func() {
		released := make(chan struct{})
		g := open(t, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(released)
		})
		got := g.ask(context.Background(), http.MethodPost, "/book/1", "x", http.Header{
			"Deadline": {"50"},
		})
		So(got.status, ShouldEqual, http.StatusGatewayTimeout)
		<-released
	})
	Convey("A caller that leaves ends its upstream's work", t, func() {
		began := make(chan struct{})
		released := make(chan struct{})
		g := open(t, func(_ http.ResponseWriter, r *http.Request) {
			close(began)
			<-r.Context().Done()
			close(released)
		})
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			<-began
			leave()
		}()
		g.ask(ctx, http.MethodPost, "/write/1", "x", nil)
		<-released
	})
}

// A deadline that can't be read must not become "wait for ever".
func TestOddRequests(t *testing.T) {
	Convey("A request that can't be understood does not run", t, func() {
		g := open(t, say("a"))
		got := g.ask(context.Background(), http.MethodPost, "/book/1", "x", http.Header{
			"Deadline": {"soon"},
		})
		So(got.status, ShouldEqual, http.StatusBadRequest)
		So(strings.Contains(got.body, "deadline"), ShouldBeTrue)
		So(g.runs(), ShouldBeEmpty)
	})
}

// An entry that stops within eight seconds takes a report of nine, and cuts it;
// or it turns away a lookup that it could have answered a hundred times over.
func TestStopping(t *testing.T) {
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
			name:   "a note that does is taken",
			path:   "/write/1",
			tokens: "2000,20",
			left:   4 * mgclock.Second,
			status: http.StatusOK,
		},
		{
			name:   "a lookup is taken",
			path:   "/look/1",
			left:   4 * mgclock.Second,
			status: http.StatusOK,
		},
		{
			name:   "a lookup in the last moment is refused",
			path:   "/look/1",
			left:   100,
			status: http.StatusServiceUnavailable,
		},
	}
	Convey("While the entry stops", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := open(t, say("id: 1\n\n"))
				g.with(func(spec *mgrelay.Spec) {
					spec.Left = func() (mgclock.Millis, bool) { return c.left, true }
				})
				got := g.ask(context.Background(), http.MethodPost, c.path, "x", http.Header{
					"Tokens": {c.tokens},
					"Hint":   {strings.TrimPrefix(c.tokens, "3000,")},
				})
				So(got.status, ShouldEqual, c.status)
				So(len(g.runs()) > 0, ShouldEqual, c.status == http.StatusOK)
			})
		}
	})
}
