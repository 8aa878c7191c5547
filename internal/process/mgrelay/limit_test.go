package mgrelay_test

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglimit"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// answerWithLimit answers with a text, and announces a limit while there is one.
func answerWithLimit(limit *atomic.Pointer[string], text string) upstreamHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		if named := limit.Load(); named != nil {
			w.Header().Set("Limit", *named)
		}
		answerWith(text)(w, r)
	}
}

func newLimit(text string) *atomic.Pointer[string] {
	var limit atomic.Pointer[string]
	limit.Store(&text)
	return &limit
}

// Guards against sending an upstream more requests than the rate limit that it
// announced, and against callers that wait because of the limit.
func TestUpstreamLimitExceeded(t *testing.T) {
	ask := func(g *harness, path string) callerReply {
		return g.send(context.Background(), http.MethodPost, path, "x", http.Header{
			"Tokens":     {"30,9"},
			"Request-Id": {path},
		})
	}
	// requestsAt returns how many requests an upstream received.
	requestsAt := func(g *harness, name string) int {
		count := 0
		for _, request := range g.requests() {
			if request.upstream == name {
				count++
			}
		}
		return count
	}
	maxRequests := func(rate float64, began time.Time) int { return int(1.5*rate*time.Since(began).Seconds() + 5) }
	Convey("Once an upstream has announced a limit", t, func() {
		limit := newLimit("2")
		g := newHarness(t, answerWithLimit(limit, "id: 1\n\n"), answerWith("id: 1\n\n"))
		began := time.Now()
		Convey("requests of each kind go to another at once", func() {
			for n := range 40 {
				for _, path := range []string{"/book/", "/look/", "/note/"} {
					So(ask(g, path+strconv.Itoa(n)).status, ShouldEqual, http.StatusOK)
				}
			}
			So(requestsAt(g, "a"), ShouldBeLessThanOrEqualTo, maxRequests(2, began))
		})
		Convey("so do those with a placement there", func() {
			g.configureModel(tableText)
			g.startRelay(func(spec *mgrelay.Spec) {
				spec.AwaitPlacement = func(context.Context, string, mgwaitlist.Request) (mgwaitlist.Grant, bool) {
					return mgwaitlist.Grant{Place: "a"}, true
				}
			})
			began = time.Now()
			for n := range 60 {
				So(ask(g, "/note/"+strconv.Itoa(n)).status, ShouldEqual, http.StatusOK)
			}
			So(requestsAt(g, "a"), ShouldBeLessThanOrEqualTo, maxRequests(2, began))
		})
		Convey("they return once an answer announces none", func() {
			ask(g, "/book/first")
			limit.Store(nil)
			ticker := time.NewTicker(10 * time.Millisecond)
			defer ticker.Stop()
			for n := 0; requestsAt(g, "a") < 20; n++ {
				So(ask(g, "/book/"+strconv.Itoa(n)).status, ShouldEqual, http.StatusOK)
				<-ticker.C
			}
		})
	})
	Convey("If all upstreams have reached their limits", t, func() {
		g := newHarness(t, answerWithLimit(newLimit("0"), "a"), answerWithLimit(newLimit("0.1"), "b"))
		for n := range 2 {
			So(ask(g, "/once/"+strconv.Itoa(n)).status, ShouldEqual, http.StatusOK)
		}
		Convey("requests are refused at once, with different Retry-After", func() {
			times := map[string]bool{}
			g.startRelay(func(spec *mgrelay.Spec) { spec.Headers.RetryAfterFractions = true })
			for n := range 2 {
				ask(g, "/once/again"+strconv.Itoa(n))
			}
			for n := range 20 {
				got := ask(g, "/once/late"+strconv.Itoa(n))
				So(got.status, ShouldEqual, http.StatusServiceUnavailable)
				So(got.body, ShouldContainSubstring, `"notrun"`)
				seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				So(err, ShouldBeNil)
				So(seconds, ShouldBeBetween, 0, 12)
				times[got.header.Get("Retry-After")] = true
			}
			So(len(times), ShouldBeGreaterThan, 5)
		})
	})
	Convey("A limit that can't be parsed is ignored", t, func() {
		for _, text := range []string{"few", "-1", "NaN", ""} {
			g := newHarness(t, answerWithLimit(newLimit(text), "a"))
			for n := range 30 {
				So(ask(g, "/book/"+strconv.Itoa(n)).status, ShouldEqual, http.StatusOK)
			}
		}
	})
	Convey("A moved generation goes to an upstream without a limit, else it is counted as forced", t, func() {
		for limitedHosts, forcedSends := range map[string]int64{"b": 0, "both": 1} {
			var forced atomic.Int64
			limits := &mglimit.Limits{}
			s := newMoveScenario(t, func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
				if order.Stop {
					close(s.breakOff)
				}
				return mgmigration.Reply{
					Outcome: mgmigration.Copied,
					Handle:  "h",
				}
			}, resumeFromCopy, resumeFromCopy)
			limits.RecordRate(0, "b", 0, 1)
			if limitedHosts == "both" {
				limits.RecordRate(0, "c", 0, 1)
			}
			s.harness.startRelay(func(spec *mgrelay.Spec) {
				s.configure(spec)
				spec.Limits = limits
				spec.TakePermit = func(_ context.Context, permit mgrelay.PermitRequest) (mgclock.Millis, bool) {
					if permit.Ask.Forced {
						forced.Add(1)
					}
					return 0, true
				}
			})
			got := s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
			So(got.body, ShouldEqual, wholeStream())
			requests := s.harness.requests()
			if limitedHosts == "b" {
				So(requests[len(requests)-1].upstream, ShouldEqual, "c")
			}
			So(forced.Load(), ShouldEqual, forcedSends)
		}
	})
}

// Guards against another request with the permit of a forced one, which was sent before it
// counted.
func TestForcedRequestSentBeforeItCounts(t *testing.T) {
	Convey("A generation that goes on where its copy lies counts before it is sent there", t, func() {
		s := newMoveScenario(t, func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
			if order.Stop {
				close(s.breakOff)
			}
			return mgmigration.Reply{
				Outcome: mgmigration.Copied,
				Handle:  "h",
			}
		}, resumeFromCopy)
		limits := &mglimit.Limits{}
		limits.RecordRate(0, "b", 0, 1)
		var sentBefore atomic.Int64
		sentBefore.Store(-1)
		s.harness.startRelay(func(spec *mgrelay.Spec) {
			s.configure(spec)
			spec.Limits = limits
			spec.TakePermit = func(ctx context.Context, permit mgrelay.PermitRequest) (mgclock.Millis, bool) {
				mgclock.Clock{}.Sleep(ctx, 50)
				if permit.Ask.Forced {
					sentBefore.Store(int64(len(s.harness.requests()) - 1)) // without the one that was moved
				}
				return 0, true
			}
		})
		got := s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
		So(got.body, ShouldEqual, wholeStream())
		So(sentBefore.Load(), ShouldEqual, 0)
	})
}
