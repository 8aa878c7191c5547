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
func TestTold(t *testing.T) {
	cases := []struct {
		story string
		play  func(r *rig)
		told  string
		ran   int
	}{
		{
			story: "the engine's first answer is lost, then it refuses",
			play: func(r *rig) {
				r.starts = func(n int) error { return []error{errSilent, errDown}[n-1] }
				stamp := r.clock.Now()
				r.begin("a", "i1")
				r.sleep(mgclock.Second)
				r.cancel("a", stamp)
			},
			told: "[ok unknown]",
			ran:  1,
		},
		{
			story: "the engine refuses at once",
			play: func(r *rig) {
				r.starts = func(int) error { return errDown }
				stamp := r.clock.Now()
				r.begin("a", "i1")
				r.sleep(mgclock.Second)
				r.cancel("a", stamp)
			},
			told: "[ok notrun]",
		},
		{
			story: "a copy of its start comes when the engine has become unreachable",
			play: func(r *rig) {
				r.begin("a", "i1")
				r.sick.Store(true)
				r.sleep(mgclock.Second)
				r.begin("a", "i1")
			},
			told: "[ok ok]",
			ran:  1,
		},
		{
			story: "refused while the engine is unreachable, and a copy comes later",
			play: func(r *rig) {
				r.sick.Store(true)
				r.sleep(mgclock.Second)
				r.begin("a", "i1")
				r.sick.Store(false)
				r.sleep(mgclock.Second)
				r.begin("a", "i1")
				r.sleep(mgclock.Second)
			},
			told: "[crowded/notrun tombstone/notrun]",
		},
		{
			story: "cancelled before its start arrives",
			play: func(r *rig) {
				r.cancel("a", r.clock.Now())
				r.begin("a", "i1")
				r.sleep(mgclock.Second)
			},
			told: "[notrun tombstone/notrun]",
		},
		{
			story: "cancelled in the queue",
			play: func(r *rig) {
				r.begin("a", "i1")
				r.sleep(mgclock.Second)
				r.begin("b", "i1")
				r.cancel("b", r.clock.Now())
				r.cancel("a", r.clock.Now())
				r.sleep(mgclock.Minute)
			},
			told: "[ok ok notrun unknown]",
			ran:  1,
		},
		{
			story: "its start was meant for the agent before",
			play:  func(r *rig) { r.begin("a", "i0") },
			told:  "[incarnation/unknown]",
		},
		{
			story: "a write begins when the upstream is leaving",
			play: func(r *rig) {
				early, late := r.mint(), r.mint()
				r.invoke(early)
				r.agent.Leave()
				r.invoke(early)
				r.invoke(late)
				r.invoke(late)
			},
			told: "[/done /done leaving/notrun tombstone/notrun]",
			ran:  1,
		},
	}
	Convey("What is told is true", t, func() {
		for _, c := range cases {
			Convey(c.story, func() {
				var told string
				var ran int
				bubble(t, func(r *rig) {
					c.play(r)
					told = fmt.Sprint(r.told)
					r.mu.Lock()
					defer r.mu.Unlock()
					for _, n := range r.ran {
						ran += n
					}
				})
				So(told, ShouldEqual, c.told)
				So(ran, ShouldEqual, c.ran)
			})
		}
	})
}

// An agent refuses all work after some hours. Callers had left while their
// requests waited, and the record kept an entry for each for good.
func TestRecordIsFreed(t *testing.T) {
	Convey("A request that nobody reads leaves the record", t, func() {
		held := -1
		bubble(t, func(r *rig) {
			for _, id := range []string{"a", "b", "c", "d"} {
				r.begin(id, "i1")
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
func TestStopEndsAdopted(t *testing.T) {
	Convey("A generation picked up late ends with the agent", t, func() {
		ended := false
		bubble(t, func(r *rig) {
			r.mu.Lock()
			r.held = []mgengine.Generation{{
				ID: "x",
			}}
			r.mu.Unlock()
			asked, gone := context.WithCancel(r.ctx)
			go r.agent.Routes().ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(asked, "GET", "/frames/x?from=1", nil))
			r.sleep(mgclock.Second)
			gone()
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
