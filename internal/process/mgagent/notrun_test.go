package mgagent_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A caller is told "not run" although the request ran, or "unknown" where "not
// run" is certain. Each case plays one ending of a request with the result of
// each step; nothing may have run that was reported as not run.
func TestFalseNotRun(t *testing.T) {
	cases := []struct {
		story string
		play  func(r *harness)
		want  string
		ran   int
	}{
		{
			story: "the engine's first answer is lost, then it refuses",
			play: func(r *harness) {
				r.startResult = func(n int) error { return []error{errNoAnswer, errDown}[n-1] }
				stamp := r.clock.Now()
				r.startAttempt("a", "i1")
				r.sleep(mgclock.Second)
				r.cancel("a", stamp)
			},
			want: "[ok unknown]",
			ran:  1,
		},
		{
			story: "the engine refuses at once",
			play: func(r *harness) {
				r.startResult = func(int) error { return errDown }
				stamp := r.clock.Now()
				r.startAttempt("a", "i1")
				r.sleep(mgclock.Second)
				r.cancel("a", stamp)
			},
			want: "[ok notrun]",
		},
		{
			story: "a copy of its start arrives when the engine has become unreachable",
			play: func(r *harness) {
				r.startAttempt("a", "i1")
				r.engineDown.Store(true)
				r.sleep(mgclock.Second)
				r.startAttempt("a", "i1")
			},
			want: "[ok ok]",
			ran:  1,
		},
		{
			story: "refused while the engine is unreachable, and a copy arrives later",
			play: func(r *harness) {
				r.engineDown.Store(true)
				r.sleep(mgclock.Second)
				r.startAttempt("a", "i1")
				r.engineDown.Store(false)
				r.sleep(mgclock.Second)
				r.startAttempt("a", "i1")
				r.sleep(mgclock.Second)
			},
			want: "[crowded/notrun tombstone/notrun]",
		},
		{
			story: "cancelled before its start arrives",
			play: func(r *harness) {
				r.cancel("a", r.clock.Now())
				r.startAttempt("a", "i1")
				r.sleep(mgclock.Second)
			},
			want: "[notrun tombstone/notrun]",
		},
		{
			story: "cancelled in the waiting list",
			play: func(r *harness) {
				r.startAttempt("a", "i1")
				r.sleep(mgclock.Second)
				r.startAttempt("b", "i1")
				r.cancel("b", r.clock.Now())
				r.cancel("a", r.clock.Now())
				r.sleep(mgclock.Minute)
			},
			want: "[ok ok notrun unknown]",
			ran:  1,
		},
		{
			story: "its start was meant for the previous incarnation",
			play:  func(r *harness) { r.startAttempt("a", "i0") },
			want:  "[incarnation/unknown]",
		},
		{
			story: "a write begins when the upstream is leaving",
			play: func(r *harness) {
				early, late := r.mint(), r.mint()
				r.invoke(early)
				r.agent.Leave()
				r.invoke(early)
				r.invoke(late)
				r.invoke(late)
			},
			want: "[/done /done leaving/notrun tombstone/notrun]",
			ran:  1,
		},
	}
	Convey("The reported outcome is true", t, func() {
		for _, c := range cases {
			Convey(c.story, func() {
				var got string
				var ran int
				runHarness(t, func(r *harness) {
					c.play(r)
					got = fmt.Sprint(r.results)
					r.mu.Lock()
					defer r.mu.Unlock()
					for _, n := range r.ran {
						ran += n
					}
				})
				So(got, ShouldEqual, c.want)
				So(ran, ShouldEqual, c.ran)
			})
		}
	})
}

// An agent refused all work after some hours: callers had left while their
// requests waited, and the ledger kept each of these entries forever.
func TestLedgerLeak(t *testing.T) {
	Convey("An abandoned request is removed from the ledger", t, func() {
		held := -1
		runHarness(t, func(r *harness) {
			for _, id := range []string{"a", "b", "c", "d"} {
				r.startAttempt(id, "i1")
			}
			r.sleep(2 * mgclock.Minute)
			r.cancel("e", r.clock.Now()) // makes the ledger drop expired entries
			held = r.agent.State().Attempts
		})
		So(held, ShouldEqual, 1)
	})
}

// A planned stop took longer than its maximum drain time: the agent had adopted
// a predecessor's generation when a reader asked for it, and kept reading it
// after it was told to stop.
func TestStopHangsOnAdopted(t *testing.T) {
	Convey("A generation adopted on demand ends with the agent", t, func() {
		ended := false
		runHarness(t, func(r *harness) {
			r.mu.Lock()
			r.engineGenerations = []mgengine.Generation{{
				ID: "x",
			}}
			r.mu.Unlock()
			readerCtx, disconnect := context.WithCancel(r.ctx)
			go r.agent.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(readerCtx, "GET", "/frames/x?from=1", nil))
			r.sleep(mgclock.Second)
			disconnect()
			r.stop()
			select {
			case <-r.done:
				ended = true
			case <-r.clock.After(mgclock.Minute):
				r.cancel("x", 0) // so that the test itself ends
			}
		})
		So(ended, ShouldBeTrue)
	})
}
