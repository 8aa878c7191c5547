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

// A write is booked, its answer is lost, and the entry sends it to the next
// host of the service: two barrels where one moved. Or the caller is told "not
// run" although it ran, and sends it again itself.
func TestSentAgain(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		plays  []play
		runs   int
		status int
		cut    bool
		retry  bool
	}{
		{
			name:   "a write whose answer is lost is not repeated",
			path:   "/book/1",
			plays:  []play{hangUp, say("b")},
			runs:   1,
			status: http.StatusBadGateway,
		},
		{
			name:   "a write that failed at its host is not repeated",
			path:   "/book/1",
			plays:  []play{fail, say("b")},
			runs:   1,
			status: http.StatusInternalServerError,
		},
		{
			name:   "a write that a host refused goes to the next",
			path:   "/book/1",
			plays:  []play{decline(http.StatusServiceUnavailable), say("b")},
			runs:   2,
			status: http.StatusOK,
		},
		{
			name:   "a write that met another host at the address goes to the next",
			path:   "/book/1",
			plays:  []play{decline(http.StatusMisdirectedRequest), say("b")},
			runs:   2,
			status: http.StatusOK,
		},
		{
			name:   "a write that may go to one host only is refused with a time to come back",
			path:   "/once/1",
			plays:  []play{decline(http.StatusServiceUnavailable), say("b")},
			runs:   1,
			status: http.StatusServiceUnavailable,
			retry:  true,
		},
		{
			name:   "a host's own 503 without its word is no promise",
			path:   "/book/1",
			plays:  []play{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, say("b")},
			runs:   1,
			status: http.StatusBadGateway,
		},
		{
			name:   "a lookup whose answer is lost is repeated",
			path:   "/look/1",
			plays:  []play{hangUp, say("b")},
			runs:   2,
			status: http.StatusOK,
		},
		{
			name:   "a lookup that failed is repeated once",
			path:   "/look/1",
			plays:  []play{fail, fail, say("c")},
			runs:   2,
			status: http.StatusInternalServerError,
		},
		{
			name:   "a lookup that failed and was then refused has run",
			path:   "/look/1",
			plays:  []play{hangUp, decline(http.StatusServiceUnavailable)},
			runs:   2,
			status: http.StatusBadGateway,
		},
		{
			name:   "a lookup whose answer breaks off is repeated",
			path:   "/look/1",
			plays:  []play{raw("HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhal"), say("b")},
			runs:   2,
			status: http.StatusOK,
		},
	}
	Convey("Who is sent a request after a failure", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := open(t, c.plays...)
				got := g.ask(context.Background(), http.MethodPost, c.path, "x", nil)
				So(len(g.runs()), ShouldEqual, c.runs)
				So(got.status, ShouldEqual, c.status)
				So(got.header.Get("Retry-After") != "", ShouldEqual, c.retry)
			})
		}
	})
}

// The host of a service crashed and its address refuses connections. Nothing
// was sent, so that even a write may go to the next host.
func TestUnreached(t *testing.T) {
	Convey("A host that can't be reached costs no attempt", t, func() {
		g := open(t, say("a"))
		g.hosts = append(g.hosts[:0:0], g.hosts[0], g.hosts[0])
		g.hosts[0].Addr = "127.0.0.1:1"
		g.hosts[0].Name = "gone"
		got := g.ask(context.Background(), http.MethodPost, "/once/1", "x", nil)
		So(got.status, ShouldEqual, http.StatusOK)
		So(got.body, ShouldEqual, "a")
	})
	Convey("Where none can be reached the caller learns that it did not run", t, func() {
		g := open(t, say("a"))
		g.hosts[0].Addr = "127.0.0.1:1"
		got := g.ask(context.Background(), http.MethodPost, "/once/1", "x", nil)
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
	})
	Convey("Where none is known the caller comes back when there may be one", t, func() {
		// Callers that are told a tenth of a second come back once, too early:
		// entries that ran out are listed again within two seconds.
		g := open(t)
		g.with(func(spec *mgrelay.Spec) { spec.Form.Fractions = true })
		got := g.ask(context.Background(), http.MethodPost, "/once/1", "x", nil)
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.header.Get("Retry-After"), ShouldEqual, "1.000")
	})
}

// A member reads half a dossier, or another member's, and takes it for the
// whole of the own one: an upstream broke off, or its bytes were not an answer
// to this request, and the entry passed them on as if they were.
func TestNotItsAnswer(t *testing.T) {
	signed := "HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSignature: s\r\n"
	cases := []struct {
		name  string
		path  string
		plays []play
		got   string // what a caller may have, when it isn't whole
		whole bool
	}{
		{
			name:  "an answer for another request",
			path:  "/book/1",
			plays: []play{raw("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSignature: s\r\nContent-Length: 5\r\n\r\nother")},
		},
		{
			name:  "an answer without a signature",
			path:  "/book/1",
			plays: []play{raw("HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nContent-Length: 5\r\n\r\nother")},
		},
		{
			name:  "an answer that breaks off",
			path:  "/book/1",
			plays: []play{raw(signed + "Content-Length: 9\r\n\r\nhalf")},
		},
		{
			name:  "a chunked answer that breaks off",
			path:  "/book/1",
			plays: []play{raw(signed + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")},
		},
		{
			name:  "bytes that are no answer",
			path:  "/book/1",
			plays: []play{raw("\x00\x01\x02 nonsense\r\n\r\n")},
		},
		{
			name:  "a second answer after the first",
			path:  "/book/1",
			plays: []play{raw(signed + "Content-Length: 5\r\n\r\nright" + signed + "Content-Length: 5\r\n\r\nwrong")},
			got:   "right",
			whole: true,
		},
		{
			name:  "an answer that ends with its connection",
			path:  "/book/1",
			plays: []play{raw(signed + "\r\nright")},
			got:   "right",
			whole: true,
		},
		{
			name:  "a stream that stops in the middle of an event",
			path:  "/write/1",
			plays: []play{raw(signed + "Transfer-Encoding: chunked\r\n\r\n16\r\nid: 1\ndata: a\n\nid: 2\r\n")},
			got:   "id: 1\ndata: a\n\n",
		},
		{
			name:  "a stream that stops between two events",
			path:  "/write/1",
			plays: []play{raw(signed + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n")},
			got:   "id: 1\ndata: a\n\n",
		},
		{
			name:  "a whole stream",
			path:  "/write/1",
			plays: []play{raw(signed + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n")},
			got:   "id: 1\ndata: a\n\n",
			whole: true,
		},
	}
	Convey("A caller takes for whole only what is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := open(t, c.plays...)
				got := g.ask(context.Background(), http.MethodPost, c.path, "x", nil)
				So(got.status == http.StatusOK && !got.cut, ShouldEqual, c.whole)
				if got.status == http.StatusOK {
					So(got.body, ShouldEqual, c.got)
				}
				So(got.body, ShouldNotContainSubstring, "other")
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

// Engines crash while the store is away, and their addresses go to another
// service. It answers each request at once that it is not the one that is
// meant, holds no work of ours, looks the least loaded, and draws them all.
func TestAnotherAtTheAddress(t *testing.T) {
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
			name:     "the upstream itself refuses, for the weights that the caller wants",
			instance: "a",
		},
		{
			name: "nothing says who answered",
		},
	}
	Convey("An upstream whose address answers \"misdirected\" is gone, when", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := open(t, func(w http.ResponseWriter, _ *http.Request) {
					if c.instance != "" {
						w.Header().Set("Instance", c.instance)
					}
					w.WriteHeader(http.StatusMisdirectedRequest)
				}, say("b"))
				var departed []string
				g.with(func(spec *mgrelay.Spec) {
					spec.Departed = func(name string) { departed = append(departed, name) }
				})
				got := g.ask(context.Background(), http.MethodPost, "/book/1", "x", nil)
				So(got.status, ShouldEqual, http.StatusOK)
				So(got.body, ShouldEqual, "b")
				So(departed, ShouldResemble, c.departed)
			})
		}
	})
}
