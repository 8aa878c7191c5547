package mgrelay_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A request that waits for a placement when its entry begins to stop must not be held until the
// process ends, when its caller gets no answer and doesn't know whether it ran.
func TestStoppingEntryHoldsWaitingRequest(t *testing.T) {
	cases := []struct {
		name   string
		tokens string
		left   mgclock.Millis // of the process, once it stops
		status int
	}{
		{
			name:   "whose answer would end after the process is refused at once",
			tokens: "3000,900",
			left:   4 * mgclock.Second,
			status: http.StatusServiceUnavailable,
		},
		{
			name:   "whose answer ends in time waits on and is answered",
			tokens: "3000,20",
			left:   4 * mgclock.Second,
			status: http.StatusOK,
		},
	}
	Convey("When an entry begins to stop, a waiting request", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := newHarness(t, answerWith("id: 1\n\n"))
				g.configureModel(tableText)
				var stopping atomic.Bool
				g.startRelay(func(spec *mgrelay.Spec) {
					spec.TimeLeft = func() (mgclock.Millis, bool) { return c.left, stopping.Load() }
					spec.AwaitPlacement = func(ctx context.Context, _ string, _ mgwaitlist.Request) (mgwaitlist.Grant, bool) {
						stopping.Store(true)
						if !spec.Clock.Sleep(ctx, mgclock.Second) {
							return mgwaitlist.Grant{}, false
						}
						return mgwaitlist.Grant{
							Place: "a",
						}, true
					}
				})
				got := g.send(context.Background(), http.MethodPost, "/write/1", "x", http.Header{
					"Tokens": {c.tokens},
				})
				So(got.status, ShouldEqual, c.status)
				So(len(g.requests()) > 0, ShouldEqual, c.status == http.StatusOK)
				if c.status == http.StatusServiceUnavailable {
					So(got.body, ShouldContainSubstring, `"outcome":"notrun"`)
					So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
				}
			})
		}
	})
}

// Guards against a request that waits in an entry which stops together with most others, and whose connection ends
// without an answer, or which is sent to an upstream only to be cut.
func TestRequestWaitsUntilEntryEnds(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		tokens string
		left   mgclock.Millis // of the process, once it stops
		status int
	}{
		{
			name:   "is refused if its answer couldn't be whole",
			path:   "/write/1",
			tokens: "3000,900",
			left:   4 * mgclock.Second,
			status: http.StatusServiceUnavailable,
		},
		{
			name:   "is answered if its answer can be whole",
			path:   "/write/1",
			tokens: "3000,20",
			left:   4 * mgclock.Second,
			status: http.StatusOK,
		},
		{
			name:   "is answered if its caller can resume what it gets",
			path:   "/note/1",
			tokens: "3000,900",
			left:   4 * mgclock.Second,
			status: http.StatusOK,
		},
		{
			name:   "is refused if its answer couldn't begin",
			path:   "/note/1",
			tokens: "3000,900",
			left:   500,
			status: http.StatusServiceUnavailable,
		},
	}
	Convey("When most entries stop, a waiting request", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := newHarness(t, answerWith("id: 1\n\n"))
				g.configureModel(tableText)
				g.startRelay(func(spec *mgrelay.Spec) {
					spec.TimeLeft = func() (mgclock.Millis, bool) { return 0, false }
					spec.StopsIn = func() (mgclock.Millis, bool) { return c.left, true }
					spec.AwaitPlacement = func(ctx context.Context, _ string, _ mgwaitlist.Request) (mgwaitlist.Grant, bool) {
						if !spec.Clock.Sleep(ctx, mgclock.Second) {
							return mgwaitlist.Grant{}, false
						}
						return mgwaitlist.Grant{
							Place: "a",
						}, true
					}
				})
				got := g.send(context.Background(), http.MethodPost, c.path, "x", http.Header{
					"Tokens": {c.tokens},
				})
				So(got.status, ShouldEqual, c.status)
				So(len(g.requests()) > 0, ShouldEqual, c.status == http.StatusOK)
				if c.status == http.StatusServiceUnavailable {
					So(got.body, ShouldContainSubstring, `"outcome":"notrun"`)
					So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
				}
			})
		}
	})
}

// Guards against a request that begins to wait in the last moments of an entry which stops together with most others,
// and whose connection ends before anything asks whether waiting is of use.
func TestRequestWaitsInLastMoments(t *testing.T) {
	Convey("When most entries stop, a request that arrives last is refused before its entry ends", t, func() {
		const left = 200 * mgclock.Millis(1)
		g := newHarness(t, answerWith("id: 1\n\n"))
		g.configureModel(tableText)
		waited := mgclock.Minute // the shortest wait, as the machine may pause in one
		g.startRelay(func(spec *mgrelay.Spec) {
			spec.TimeLeft = func() (mgclock.Millis, bool) { return 0, false }
			spec.StopsIn = func() (mgclock.Millis, bool) { return left, true }
			spec.AwaitPlacement = func(ctx context.Context, _ string, _ mgwaitlist.Request) (mgwaitlist.Grant, bool) {
				startedAt := spec.Clock.Now()
				<-ctx.Done()
				waited = min(waited, spec.Clock.Now()-startedAt)
				return mgwaitlist.Grant{}, false
			}
		})
		for range 5 {
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", http.Header{
				"Tokens": {"3000,900"},
			})
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.body, ShouldContainSubstring, `"outcome":"notrun"`)
		}
		So(waited, ShouldBeLessThan, left)
	})
}

// Guards against a size that a caller states, by which an upstream seems to have less than no load, so that all
// requests are sent there, or a sum is out of range.
func TestOddSizeMisread(t *testing.T) {
	const most = 1 << 40
	for _, size := range []http.Header{
		{"Tokens": {"9223372036854775807,9223372036854775807"}},
		{"Tokens": {"99999999999999999999,99999999999999999999"}},
		{"Tokens": {"3000,-5"}},
		{"Tokens": {"-3000,900"}},
		{"Tokens": {"-99999999999999999999,5"}},
		{"Tokens": {"3000,0"}, "Hint": {"1e300"}},
		{"Tokens": {"3000,900"}, "Hint": {"-1e300"}},
		{"Tokens": {"3000,900"}, "Hint": {"NaN"}},
		{"Tokens": {"3000,900"}, "Hint": {"-Inf"}},
	} {
		Convey(fmt.Sprint("A generation that states ", size), t, func() {
			var load mgload.Tracker
			running := mgload.Load{} // while the generation runs
			g := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
				running = load.Load("a")
				answerWith("id: 1\n\n")(w, r)
			})
			g.configureModel(tableText)
			waiting := mgwaitlist.Request{} // for the placement
			g.startRelay(func(spec *mgrelay.Spec) {
				spec.Load = &load
				spec.AwaitPlacement = func(_ context.Context, _ string, request mgwaitlist.Request) (mgwaitlist.Grant, bool) {
					waiting = request
					return mgwaitlist.Grant{
						Place: "a",
					}, true
				}
			})
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", size)
			So(got.status, ShouldEqual, http.StatusOK)
			for _, number := range []int{
				waiting.Need, waiting.Output, int(waiting.Duration), running.Memory, running.Pending,
			} {
				So(number, ShouldBeBetweenOrEqual, 0, most)
			}
		})
	}
}
