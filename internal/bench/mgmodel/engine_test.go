package mgmodel_test

import (
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
)

// Guards against a token that is emitted twice and against leaked memory, when
// memory runs out during decoding and sequences are cancelled, preempted and
// computed again. Either fault would make every figure of the benchmark wrong.
func TestTokenRepeatedOrMemoryLeaked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := mgmodel.Spec{
			Memory:      rapid.IntRange(20, 200).Draw(t, "memory"),
			MaxBatch:    rapid.IntRange(1, 8).Draw(t, "batch"),
			MaxChunk:    rapid.IntRange(1, 64).Draw(t, "chunk"),
			BlockTokens: 4,
			CacheTokens: 32,
		}
		e := mgmodel.New(spec)
		seen := make(map[string]int)
		want := make(map[string]int)
		for i := range rapid.IntRange(1, 12).Draw(t, "count") {
			s := mgmodel.Sequence{
				ID:       strconv.Itoa(i),
				Prompt:   rapid.IntRange(1, 40).Draw(t, "prompt"),
				Output:   rapid.IntRange(1, 60).Draw(t, "output"),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			}
			if e.Add(s) {
				want[s.ID] = min(s.Output, spec.Memory-s.Prompt)
			}
		}
		dropped := strconv.Itoa(rapid.IntRange(0, 11).Draw(t, "cancel"))
		for step := 0; e.Running()+e.Waiting() > 0; step++ {
			if step == 5 && e.Cancel(dropped) {
				delete(want, dropped)
			}
			checkStep(t, e, seen, want)
			if step > 20000 {
				t.Fatal("the engine makes no progress")
			}
		}
		if len(want) != 0 || e.Used() != 0 {
			t.Fatalf("left over: %v, used %d", want, e.Used())
		}
	})
}

// checkStep runs a step and checks the order of its tokens, the lengths of
// finished outputs and the memory.
func checkStep(t *rapid.T, e *mgmodel.Engine, seen, want map[string]int) {
	r := e.Step()
	for _, token := range r.Tokens() {
		seen[token.ID()]++
		if seen[token.ID()] != token.Seq() {
			t.Fatalf("%s: token %d comes as %d", token.ID(), token.Seq(), seen[token.ID()])
		}
	}
	for _, id := range r.Finished() {
		if seen[id] != want[id] {
			t.Fatalf("%s ended after %d tokens, not %d", id, seen[id], want[id])
		}
		delete(want, id)
	}
	if e.Free() < 0 || e.Used() < 0 {
		t.Fatalf("memory: used %d, free %d", e.Used(), e.Free())
	}
}

// drain runs steps until e is idle and returns the sequences in the order in
// which they finished, and the number of preemptions.
func drain(e *mgmodel.Engine) (ends []string, preemptions int) {
	for e.Running()+e.Waiting() > 0 {
		r := e.Step()
		ends = append(ends, r.Finished()...)
		preemptions += len(r.Preempted())
	}
	return ends, preemptions
}

func TestEngine(t *testing.T) {
	Convey("An engine", t, func() {
		Convey("admits by priority, then in order of arrival", func() {
			e := mgmodel.New(mgmodel.Spec{
				MaxBatch: 1,
			})
			for i, priority := range []int{0, 1, 0, 1} {
				e.Add(mgmodel.Sequence{
					ID:       strconv.Itoa(i),
					Prompt:   1,
					Output:   1,
					Priority: priority,
				})
			}
			ends, _ := drain(e)
			So(ends, ShouldResemble, []string{"1", "3", "0", "2"})
		})

		Convey("preempts the lowest priority, the youngest first", func() {
			e := mgmodel.New(mgmodel.Spec{
				Memory: 10,
			})
			for i, priority := range []int{0, 0, 1} {
				e.Add(mgmodel.Sequence{
					ID:       strconv.Itoa(i),
					Prompt:   2,
					Output:   4,
					Priority: priority,
				})
			}
			e.Step()
			r := e.Step()
			So(r.Preempted(), ShouldResemble, []string{"1"})
		})

		Convey("computes only the part of a prompt that isn't cached", func() {
			e := mgmodel.New(mgmodel.Spec{
				BlockTokens: 100,
			})
			s := mgmodel.Sequence{
				ID:     "a",
				Prompt: 400,
				Prefix: []uint64{1, 2, 3},
				Output: 1,
			}
			So(e.Cached(s.Prefix), ShouldEqual, 0)
			e.Add(s)
			cold := e.Step().Duration()
			So(e.Cached(s.Prefix), ShouldEqual, 300)
			e.Add(s)
			So(e.Step().Duration(), ShouldAlmostEqual, cold-0.3*50)
		})

		Convey("refuses a name that is taken and a prompt that can't fit", func() {
			e := mgmodel.New(mgmodel.Spec{})
			So(e.Add(mgmodel.Sequence{ID: "a", Prompt: 1}), ShouldBeTrue)
			So(e.Add(mgmodel.Sequence{ID: "a", Prompt: 1}), ShouldBeFalse)
			So(e.Add(mgmodel.Sequence{ID: "b", Prompt: 40000}), ShouldBeFalse)
		})

		Convey("takes no time when it has nothing to run", func() {
			So(mgmodel.New(mgmodel.Spec{}).Step().Duration(), ShouldEqual, 0)
		})
	})
}

func BenchmarkStep(b *testing.B) {
	b.ReportAllocs()
	e := mgmodel.New(mgmodel.Spec{})
	for i := 0; b.Loop(); i++ {
		for e.Running()+e.Waiting() < 64 {
			e.Add(mgmodel.Sequence{
				ID:     strconv.Itoa(i),
				Prompt: 300,
				Output: 400,
			})
			i++
		}
		e.Step()
	}
}
