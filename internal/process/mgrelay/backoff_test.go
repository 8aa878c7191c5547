package mgrelay_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
)

// refuseFor returns a handler that refuses requests with a Retry-After in seconds.
func refuseFor(seconds string) upstreamHandler {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Refused", "1")
		w.Header().Set("Retry-After", seconds)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against requests that are sent to an upstream during the time for which it
// sent Retry-After, and against callers that wait because of it.
func TestRetryAfterIgnored(t *testing.T) {
	ask := func(g *harness, path string) callerReply {
		return g.send(context.Background(), http.MethodPost, path, "x", http.Header{"Tokens": {"30,9"}})
	}
	Convey("After an upstream has sent Retry-After", t, func() {
		g := newHarness(t, refuseFor("30"), answerWith("id: 1\n\n"))
		Convey("requests of each kind go to another at once", func() {
			for n := range 5 {
				for _, path := range []string{"/book/", "/look/", "/note/"} {
					got := ask(g, path+strconv.Itoa(n))
					So(got.status, ShouldEqual, http.StatusOK)
					So(got.header.Get("Signature"), ShouldEqual, "signed by b")
				}
			}
			So(len(g.requests()), ShouldEqual, 16)
		})
		Convey("so do those with a placement there", func() {
			g.configureModel(tableText)
			g.startRelay(func(spec *mgrelay.Spec) {
				spec.AwaitPlacement = func(context.Context, string, mgwaitlist.Request) (mgwaitlist.Grant, bool) {
					return mgwaitlist.Grant{Place: "a"}, true
				}
			})
			for n := range 5 {
				So(ask(g, "/note/"+strconv.Itoa(n)).status, ShouldEqual, http.StatusOK)
			}
			So(len(g.requests()), ShouldEqual, 6)
		})
	})
	Convey("While all upstreams are in backoff", t, func() {
		g := newHarness(t, refuseFor("30"), refuseFor("20.5"))
		ask(g, "/book/1")
		So(len(g.requests()), ShouldEqual, 2)
		Convey("requests are refused at once with the time until the first backoff ends", func() {
			for _, path := range []string{"/book/2", "/note/2"} {
				got := ask(g, path)
				So(got.status, ShouldEqual, http.StatusServiceUnavailable)
				seconds, err := strconv.Atoi(got.header.Get("Retry-After"))
				So(err, ShouldBeNil)
				So(seconds, ShouldBeBetweenOrEqual, 20, 21)
			}
			So(len(g.requests()), ShouldEqual, 2)
		})
		Convey("requests don't wait for a placement", func() {
			g.configureModel(tableText)
			asked := 0
			g.startRelay(func(spec *mgrelay.Spec) {
				spec.AwaitPlacement = func(context.Context, string, mgwaitlist.Request) (mgwaitlist.Grant, bool) {
					asked++
					return mgwaitlist.Grant{}, false
				}
			})
			for range 2 {
				ask(g, "/note/3")
			}
			So(asked, ShouldEqual, 1)
		})
	})
	Convey("A caller doesn't get the Retry-After of one upstream if another may take its request", t, func() {
		g := newHarness(t, refuseFor("30"), answerWith("b"))
		got := ask(g, "/once/1")
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.header.Get("Retry-After"), ShouldEqual, "1")
	})
	Convey("A refusal without a valid Retry-After starts no backoff", t, func() {
		for _, text := range []string{"", "soon", "-3"} {
			g := newHarness(t, refuseFor(text), answerWith("b"))
			for n := range 2 {
				ask(g, "/book/"+strconv.Itoa(n))
			}
			So(len(g.requests()), ShouldEqual, 4)
		}
	})
}
