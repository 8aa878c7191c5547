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

// A shift lead is told "not run" and finds that the job ran, or is left in
// doubt where none is due. Each case plays one ending of a request, with what
// is told at each step; in none did something run that was told not to have.
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
			story: "a copy of its start comes when the engine has become unreachable",
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
			story: "refused while the engine is unreachable, and a copy comes later",
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
			story: "cancelled in the queue",
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
			story: "its start was meant for the agent before",
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
	Convey("What is told is true", t, func() {
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

// An agent refuses all work after some hours. Callers had left while their
// requests waited, and the record kept an entry for each for good.
func TestLedgerLeak(t *testing.T) {
	Convey("A request that nobody reads leaves the record", t, func() {
		held := -1
		runHarness(t, func(r *harness) {
			for _, id := range []string{"a", "b", "c", "d"} {
				r.startAttempt(id, "i1")
			}
			r.sleep(2 * mgclock.Minute)
			r.cancel("e", r.clock.Now()) // lets the record forget
			held = r.agent.State().Attempts
		})
		So(held, ShouldEqual, 1)
	})
}

// A planned stop takes longer than its longest drain. The agent had picked up a
// generation of its predecessor's when a reader asked for it, and read it on
// after it was told to end.
func TestStopHangsOnAdopted(t *testing.T) {
	Convey("A generation picked up late ends with the agent", t, func() {
		ended := false
		runHarness(t, func(r *harness) {
			r.mu.Lock()
			r.engineGenerations = []mgengine.Generation{{
				ID: "x",
			}}
			r.mu.Unlock()
			readerCtx, disconnect := context.WithCancel(r.ctx)
			go r.agent.Routes().ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(readerCtx, "GET", "/frames/x?from=1", nil))
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
