package mgadmission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgadmission"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglength"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// simulatedAnswer is an answer of a simulated batch.
type simulatedAnswer struct {
	allocation mgadmission.Allocation
	estimate   mglength.Answer
	produced   int
	length     int
}

// simulateBatch keeps a batch as full as the gate allows, at one token a step. It returns
// the number of tokens produced and of steps at which memory was outgrown.
func simulateBatch(spec mgadmission.Spec, steps int) (tokens, outgrown int) {
	r := rand.New(rand.NewPCG(7, 8))
	gate := mgadmission.NewGate(spec)
	var lengths mglength.Estimator
	var batch []*simulatedAnswer
	next := func() int { return 1 + int(math.Exp(5+1.2*r.NormFloat64())) }
	length := next()
	for range steps {
		for {
			c := mgadmission.Candidate{
				Prompt: 200,
				Max:    8192,
				Whole:  true,
				Curve:  lengths.Curve(mglength.Key{}),
			}
			if !gate.CanAdmit(c) {
				break
			}
			a := &simulatedAnswer{
				estimate: lengths.Begin(mglength.Key{}),
				length:   min(length, c.Max),
			}
			gate.Admit(&a.allocation, c)
			batch = append(batch, a)
			length = next()
		}
		if gate.Used() > spec.Memory {
			outgrown++
		}
		kept := batch[:0]
		for _, a := range batch {
			a.produced++
			tokens++
			a.estimate.Progress(a.produced)
			if gate.RecordProgress(&a.allocation, a.produced) {
				gate.UpdateProjection(&a.allocation, a.estimate.Curve())
			}
			if a.produced < a.length {
				kept = append(kept, a)
				continue
			}
			a.estimate.End(a.produced)
			gate.Release(&a.allocation)
		}
		batch = kept
	}
	return tokens, outgrown
}

// Guards against this failure: an engine under saturation preempts all the time, or is
// half idle, because answers are admitted by what fits now, or by their maximum length.
func TestMemoryIsOutgrownOrIdle(t *testing.T) {
	Convey("Under saturation", t, func() {
		spec := mgadmission.Spec{
			Memory: 20_000,
			Batch:  100,
		}
		tokens, outgrown := map[mgadmission.Rule]int{}, map[mgadmission.Rule]int{}
		for _, rule := range []mgadmission.Rule{mgadmission.OverflowProbability, mgadmission.CurrentSize, mgadmission.Reserve} {
			spec.Rule = rule
			tokens[rule], outgrown[rule] = simulateBatch(spec, 20_000)
		}
		Convey("the probability rule stays within memory where the present size does not", func() {
			So(outgrown[mgadmission.OverflowProbability], ShouldBeLessThan, outgrown[mgadmission.CurrentSize]/20)
		})
		Convey("and produces most of the tokens that the present size seems to", func() {
			So(tokens[mgadmission.OverflowProbability], ShouldBeGreaterThan, tokens[mgadmission.CurrentSize]*6/10)
		})
		Convey("and far more than the maximum length does", func() {
			So(tokens[mgadmission.OverflowProbability], ShouldBeGreaterThan, 3*tokens[mgadmission.Reserve])
		})
	})
}

// Guards against this failure: a service of long reports is set to steady, but its tokens
// come less evenly than before, because more of its answers are admitted at a time.
func TestSteadyAnswersAreCrowded(t *testing.T) {
	Convey("Of long answers", t, func() {
		var lengths mglength.Estimator
		long := mgadmission.Candidate{
			Prompt: 500,
			Curve:  lengths.Curve(mglength.Key{}),
		}
		fill := func(whole bool) *mgadmission.Gate {
			gate := mgadmission.NewGate(mgadmission.Spec{
				Memory: 20_000,
			})
			long.Whole = whole
			for gate.CanAdmit(long) {
				gate.Admit(new(mgadmission.Allocation), long)
			}
			return gate
		}
		whole, steady := fill(true), fill(false)
		Convey("fewer run at a time with the preference steady", func() {
			So(steady.Running(), ShouldBeLessThan, whole.Running())
		})
		Convey("and short ones use the memory that they leave", func() {
			short := mgadmission.Candidate{
				Prompt: 50,
				Max:    20,
			}
			So(steady.CanAdmit(short), ShouldBeTrue)
			So(whole.CanAdmit(short), ShouldBeTrue)
		})
	})
}

// Guards against this failure: a preempted answer is never resumed, because each time
// memory becomes free a new request takes it.
func TestPreemptedMemoryIsGivenAway(t *testing.T) {
	Convey("The memory of a preempted answer is given to no other request", t, func() {
		for _, rule := range []mgadmission.Rule{mgadmission.OverflowProbability, mgadmission.Watermark, mgadmission.CurrentSize} {
			gate := mgadmission.NewGate(mgadmission.Spec{
				Memory: 1000,
				Rule:   rule,
			})
			var preempted, other mgadmission.Allocation
			gate.Admit(&other, mgadmission.Candidate{
				Prompt: 100,
			})
			gate.Admit(&preempted, mgadmission.Candidate{
				Prompt: 500,
			})
			gate.RecordProgress(&preempted, 300)
			// The engine preempts the larger answer here, and 800 tokens are free in the
			// engine.
			So(gate.CanAdmit(mgadmission.Candidate{
				Prompt: 100,
			}), ShouldBeFalse)
			So(gate.Headroom(), ShouldEqual, 100)
		}
	})
}

// Guards against this failure: an engine's report of a second ago shows memory that has
// been freed since, and requests are refused although there is memory.
func TestLaggingReportBlocksMemory(t *testing.T) {
	Convey("One lagging report blocks no memory, a steady difference does", t, func() {
		gate := mgadmission.NewGate(mgadmission.Spec{
			Memory: 1000,
		})
		for range 8 {
			gate.RecordUsed(0)
		}
		gate.RecordUsed(900)
		So(gate.Headroom(), ShouldEqual, 1000)
		for range 8 {
			gate.RecordUsed(300)
		}
		So(gate.Headroom(), ShouldEqual, 700)
	})
}

// Guards against this failure: an upstream hangs, and the predicted wait stays at some
// seconds.
func TestStallPredictsShortWait(t *testing.T) {
	Convey("A stalled upstream's predicted waits grow", t, func() {
		var f mgadmission.Forecast
		f.SetBusy(0, true)
		now := mgclock.Millis(0)
		for ; now < 10*mgclock.Second; now += 10 {
			f.RecordWork(now, 10)
		}
		So(f.TimeFor(now, 1000), ShouldBeBetween, 950, 1050)
		So(f.TimeFor(now+10*mgclock.Second, 1000), ShouldBeGreaterThan, 5*mgclock.Second)
	})
}

// Guards against this failure: lookups are refused because of the reports that wait,
// although each admitted lookup overtook these at once.
func TestPredictedWaitStaysWrong(t *testing.T) {
	Convey("A wait that doesn't occur is no longer predicted, for its level only", t, func() {
		var f mgadmission.Forecast
		for range 200 {
			f.RecordWait(2, 8000, 100)
			f.RecordWait(0, 8000, 8000)
		}
		So(f.Correct(2, 8000), ShouldBeLessThan, 500)
		So(f.Correct(0, 8000), ShouldEqual, 8000)
	})
}

// For any sequence of events, no rule admits more than fits or more than a batch, Reserve
// never outgrows memory, and an empty gate holds nothing.
func TestGateExceedsMemoryOrBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := mgadmission.Spec{
			Memory: rapid.Int64Range(100, 10_000).Draw(t, "memory"),
			Batch:  rapid.IntRange(1, 20).Draw(t, "batch"),
			Rule:   rapid.SampledFrom([]mgadmission.Rule{mgadmission.OverflowProbability, mgadmission.Watermark, mgadmission.Reserve, mgadmission.CurrentSize}).Draw(t, "rule"),
			Free:   rapid.Float64Range(0, 1).Draw(t, "free"),
		}
		gate := mgadmission.NewGate(spec)
		var lengths mglength.Estimator
		var batch []*simulatedAnswer
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			c := mgadmission.Candidate{
				Prompt: rapid.IntRange(0, 5000).Draw(t, "prompt"),
				Max:    rapid.IntRange(1, 5000).Draw(t, "max"),
				Whole:  rapid.Bool().Draw(t, "whole"),
				Curve:  lengths.Curve(mglength.Key{}),
			}
			if gate.CanAdmit(c) {
				a := &simulatedAnswer{
					length: c.Max,
				}
				gate.Admit(&a.allocation, c)
				batch = append(batch, a)
				if gate.Used() > spec.Memory || gate.Running() > spec.Batch {
					t.Fatalf("%d of %d tokens, %d of %d answers", gate.Used(), spec.Memory, gate.Running(), spec.Batch)
				}
			} else if gate.Running() == 0 && int64(c.Prompt) < spec.Memory {
				t.Fatal("an idle engine refuses what fits")
			}
			kept := batch[:0]
			for _, a := range batch {
				a.produced = min(a.produced+rapid.IntRange(0, 500).Draw(t, "made"), a.length)
				gate.RecordProgress(&a.allocation, a.produced)
				gate.UpdateProjection(&a.allocation, lengths.Curve(mglength.Key{}))
				if a.produced < a.length {
					kept = append(kept, a)
				} else {
					gate.Release(&a.allocation)
				}
			}
			batch = kept
			if spec.Rule == mgadmission.Reserve && len(batch) > 1 && gate.Used() > spec.Memory {
				t.Fatal("reserved memory was outgrown")
			}
		}
		for _, a := range batch {
			gate.Release(&a.allocation)
		}
		if gate.Used() != 0 || gate.Running() != 0 {
			t.Fatalf("an empty gate holds %d tokens in %d answers", gate.Used(), gate.Running())
		}
	})
}

func BenchmarkCanAdmit(b *testing.B) {
	for _, running := range []int{10, 64} {
		b.Run(fmt.Sprint(running), func(b *testing.B) {
			gate := mgadmission.NewGate(mgadmission.Spec{
				Memory: 1 << 20,
				Batch:  running + 1,
			})
			var lengths mglength.Estimator
			c := mgadmission.Candidate{
				Prompt: 500,
				Curve:  lengths.Curve(mglength.Key{}),
			}
			allocations := make([]mgadmission.Allocation, running)
			for n := range allocations {
				gate.Admit(&allocations[n], c)
			}
			b.ReportAllocs()
			for b.Loop() {
				_ = gate.CanAdmit(c)
			}
		})
	}
}
