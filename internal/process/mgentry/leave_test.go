package mgentry_test

import (
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// maxLeaveDelay is how long after its first announcement a leaving upstream may
// still get work.
const maxLeaveDelay = 3 * mgclock.Second

// starts returns the number of generations that each engine began.
func (r *rig) starts() map[string]int {
	counts := map[string]int{}
	for name, e := range r.engines {
		for _, record := range e.Counts().Generations {
			counts[name] += record.Starts
		}
	}
	return counts
}

// A planned stop cuts off answers, or new ones go to an upstream that is about to
// stop. Ten answers stream when it leaves, ten more start after maxLeaveDelay: all
// twenty must be whole, and none of the later ones may run on the leaving one.
func TestLeaving(t *testing.T) {
	cases := map[string]func(r *rig){
		"the agent leaves": func(r *rig) { r.agents["agent-engine-1"].Leave() },
		"the engine announces that it leaves": func(r *rig) {
			r.engines["engine-1"].Set(mgstandin.Fault{Kind: mgstandin.Leave})
		},
	}
	Convey("A leaving upstream gets no new work and finishes what it has", t, func() {
		for name, leave := range cases {
			Convey(name, func() {
				var whole, late, before int
				play(t, 2, func(r *rig) {
					var all sync.WaitGroup
					early := askAll(r, &all, 10)
					r.clock.Sleep(r.ctx, 500)
					leave(r)
					r.clock.Sleep(r.ctx, maxLeaveDelay)
					before = r.starts()["engine-1"]
					later := askAll(r, &all, 10)
					all.Wait()
					late = r.starts()["engine-1"] - before
					whole = countWhole(early) + countWhole(later)
				})
				So(before, ShouldBeGreaterThan, 0)
				So(whole, ShouldEqual, 20)
				So(late, ShouldEqual, 0)
			})
		}
	})
	Convey("A leaving entry finishes what it has and refuses new requests at once", t, func() {
		var whole int
		var status string
		play(t, 2, func(r *rig) {
			var all sync.WaitGroup
			early := askAll(r, &all, 10)
			r.clock.Sleep(r.ctx, 500)
			r.entries["entry-1"].Leave()
			c := r.caller()
			c.ask("entry-1", 5, true)
			status = c.observed[0]
			all.Wait()
			whole = countWhole(early)
		})
		So(status, ShouldEqual, "503")
		So(whole, ShouldEqual, 10)
	})
}

// An engine is reclaimed with four seconds' notice while a long answer comes from
// it, and no other can take it over. The caller sees an unexplained cut, or waits
// for the whole answer until the engine dies although it could run elsewhere.
func TestReclaimed(t *testing.T) {
	cases := []struct {
		name    string
		stream  bool
		session []string // substrings of the session
	}{
		{
			name:    "a streaming caller is told the reason and the number of tokens delivered",
			stream:  true,
			session: []string{"delivered: leaving", `"outcome":"unknown"`, "as generated: true"},
		},
		{
			name:    "a caller without streaming gets the answer from another engine, begun before this one dies",
			session: []string{`"completion_tokens":1000`, `"finish_reason":"stop"`},
		},
	}
	Convey("An engine is reclaimed with notice", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				const notice = 4 * mgclock.Second
				var session string
				var over atomic.Bool
				var endedEarly bool // whether the request ended while the engine was alive
				var starts map[string]int
				play(t, 2, func(r *rig) {
					r.isolated.Store(true)
					var all sync.WaitGroup
					caller := r.caller()
					all.Go(func() {
						caller.ask("entry-1", 1000, c.stream)
						over.Store(true)
					})
					r.clock.Sleep(r.ctx, mgclock.Second)
					r.reclaim(notice)
					r.clock.Sleep(r.ctx, notice-1)
					endedEarly = over.Load()
					starts = r.starts()
					all.Wait()
					session = caller.session()
				})
				So(endedEarly, ShouldEqual, c.stream)
				So(len(starts) == 2, ShouldEqual, !c.stream)
				for _, part := range c.session {
					So(session, ShouldContainSubstring, part)
				}
			})
		}
	})
}

// An engine is reclaimed with two seconds' notice, and answers from it are cut when
// it dies. Those that would not end in time must continue at the other engine in
// the same generation: one text, and no generation begun twice.
func TestReclaimedMoves(t *testing.T) {
	Convey("Generations of a reclaimed engine continue at another", t, func() {
		var whole, resumed int
		var starts map[string]int
		var stall mgclock.Millis
		play(t, 2, func(r *rig) {
			var all sync.WaitGroup
			callers := askAll(r, &all, 10)
			r.clock.Sleep(r.ctx, mgclock.Second)
			r.reclaim(2 * mgclock.Second)
			all.Wait()
			whole = countWhole(callers)
			for _, c := range callers {
				stall = max(stall, c.stall)
			}
			for _, e := range r.engines {
				resumed += e.Counts().Resumed
			}
			starts = r.starts()
		})
		So(whole, ShouldEqual, 10)
		So(resumed, ShouldBeGreaterThan, 1)
		So(starts["engine-1"]+starts["engine-2"], ShouldEqual, 10)
		So(stall, ShouldBeLessThan, mgclock.Second)
	})
	Convey("A caller that resumes by the answer's old name finds the moved generation", t, func() {
		var first, second string
		var resumed int
		play(t, 2, func(r *rig) {
			c := r.caller()
			c.onTokenCount(100, func() { r.kill("entry-1") })
			c.ask("entry-1", answerTokens, true)
			r.reclaim(2 * mgclock.Second)
			r.clock.Sleep(r.ctx, mgclock.Second)
			c.resume("entry-2")
			resumed = r.engines["engine-1"].Counts().Resumed + r.engines["engine-2"].Counts().Resumed
			first, second = mgstandin.FirstTokens(c.generation(), answerTokens), c.text.String()
		})
		So(second, ShouldEqual, first)
		So(resumed, ShouldEqual, 1)
	})
}

// answerTokens takes about five seconds to decode, longer than maxLeaveDelay.
const answerTokens = 400

// askAll requests answers concurrently through entry-1.
func askAll(r *rig, all *sync.WaitGroup, count int) []*caller {
	callers := make([]*caller, count)
	for i := range callers {
		callers[i] = r.caller()
		callers[i].paddingWords = 50 * i // makes the prompts differ
		all.Go(func() { callers[i].ask("entry-1", answerTokens, true) })
	}
	return callers
}

// countWhole counts the callers whose answer is whole and as generated.
func countWhole(callers []*caller) int {
	count := 0
	for _, c := range callers {
		if c.tokens == answerTokens && c.text.String() == mgstandin.FirstTokens(c.generation(), c.tokens) {
			count++
		}
	}
	return count
}

// An engine has less memory than the table says and fills up while streams run. It
// preempts some and computes them again: callers may only see a delay, and every
// text must be whole.
func TestMemoryFillsUp(t *testing.T) {
	Convey("Preempted generations are delivered whole", t, func() {
		var whole, preempted int
		playWith(t, 1, 4000, func(r *rig) {
			var all sync.WaitGroup
			callers := askAll(r, &all, 10)
			all.Wait()
			whole = countWhole(callers)
			preempted = r.engines["engine-1"].Counts().Preempted
		})
		So(preempted, ShouldBeGreaterThan, 0)
		So(whole, ShouldEqual, 10)
	})
}
