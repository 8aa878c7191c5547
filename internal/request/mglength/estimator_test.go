package mglength_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mglength"
)

var report = mglength.Key{
	Account: "tank",
	Service: "report",
	Model:   "small",
}

func addLengths(e *mglength.Estimator, key mglength.Key, lengths ...int) {
	for _, n := range lengths {
		a := e.Begin(key)
		a.End(n)
	}
}

func exponential(r *rand.Rand, mean float64, n int) []int {
	lengths := make([]int, n)
	for i := range lengths {
		lengths[i] = int(r.ExpFloat64() * mean)
	}
	return lengths
}

// Guards against an estimate from ended answers only: their average says that
// answers are short while long ones still run, and engines preempt in the first
// minutes of a shift.
func TestEstimateIgnoresRunningAnswers(t *testing.T) {
	Convey("Long answers that run count among short ones that ended", t, func() {
		var e mglength.Estimator
		running := make([]mglength.Answer, 100)
		for i := range running {
			running[i] = e.Begin(report)
			addLengths(&e, report, 50)
		}
		for i := range running {
			running[i].Progress(2000)
		}
		So(e.Curve(report).Survival(0, 1500), ShouldBeGreaterThan, 0.35)
		So(e.Curve(report).MeanRemaining(0, 0), ShouldBeGreaterThan, 700)
	})
}

// Guards against an estimate that stays outdated: after a new version of a
// model the answers are ten times as long, and the engine preempts for as long
// as the estimate is based on the old lengths.
func TestOldLengthsOutliveShift(t *testing.T) {
	Convey("The estimate follows a shift within two half-lives", t, func() {
		var e mglength.Estimator
		r := rand.New(rand.NewPCG(1, 2))
		addLengths(&e, report, exponential(r, 100, 5000)...)
		So(e.Curve(report).MeanRemaining(0, 0), ShouldBeBetween, 80, 125)
		addLengths(&e, report, exponential(r, 1000, 2*mglength.HalfLife)...)
		So(e.Curve(report).MeanRemaining(0, 0), ShouldBeGreaterThan, 650)
	})
}

// Guards against new accounts that have no estimate: hundreds without any data
// arrive at once and use services that have been in use for long.
func TestNewAccountHasNoEstimate(t *testing.T) {
	Convey("A new account is estimated from its service, then from its model", t, func() {
		var e mglength.Estimator
		r := rand.New(rand.NewPCG(1, 2))
		addLengths(&e, report, exponential(r, 2000, 1000)...)
		stranger := report
		stranger.Account = "stranger"
		So(e.Curve(stranger).MeanRemaining(0, 0), ShouldBeBetween, 1500, 2600)
		other := stranger
		other.Service = "other"
		So(e.Curve(other).MeanRemaining(0, 0), ShouldBeBetween, 1500, 2600)
		other.Model = "other"
		So(e.Curve(other).Survival(0, 256), ShouldAlmostEqual, 0.5, 0.01)
	})
}

// For lengths of a known distribution the estimate is that distribution, also
// for an answer that has run for a while.
func TestEstimateMissesKnownDistribution(t *testing.T) {
	Convey("Exponential lengths have no memory", t, func() {
		var e mglength.Estimator
		r := rand.New(rand.NewPCG(3, 4))
		addLengths(&e, report, exponential(r, 400, 20_000)...)
		for _, produced := range []int{0, 100, 400} {
			c := e.Curve(report)
			So(c.MeanRemaining(produced, 0), ShouldBeBetween, 300, 520)
			So(c.Survival(produced, 400), ShouldAlmostEqual, math.Exp(-1), 0.08)
		}
		So(e.Curve(report).MeanRemaining(0, 100), ShouldBeBetween, 80, 95)
	})
}

// For any counts, survival falls from 1 to 0, means are finite, and the state
// is bounded.
func TestEstimateOutOfRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e mglength.Estimator
		key := report
		for n := range rapid.IntRange(1, 200).Draw(t, "answers") {
			key.Account = fmt.Sprint(n % 7)
			a := e.Begin(key)
			a.Progress(rapid.IntRange(0, 1<<20).Draw(t, "progress"))
			if rapid.Bool().Draw(t, "ends") {
				a.End(rapid.IntRange(0, 1<<20).Draw(t, "length"))
			} else {
				a.Stop()
			}
		}
		produced := rapid.IntRange(0, 1<<18).Draw(t, "produced")
		c := e.Curve(key)
		last := 1.0
		for ahead := 0; ahead < 1<<18; ahead = 2*ahead + 1 {
			s := c.Survival(produced, ahead)
			if !(s >= 0 && s <= last+1e-12) {
				t.Fatalf("survival of %v after %v at %v", s, last, ahead)
			}
			last = s
		}
		if m := c.MeanRemaining(produced, 0); !(m >= 0 && m < 1<<20) {
			t.Fatalf("mean %v", m)
		}
	})
}

func TestStateGrowsWithAccounts(t *testing.T) {
	Convey("Accounts that come and go leave no state behind", t, func() {
		var e mglength.Estimator
		for n := range 3 * mglength.MaxClasses {
			addLengths(&e, mglength.Key{
				Account: fmt.Sprint(n),
				Service: fmt.Sprint(n / 2),
				Model:   fmt.Sprint(n / 4),
			}, n)
		}
		So(e.Classes(), ShouldEqual, mglength.MaxClasses)
		So(e.Levels(), ShouldBeLessThanOrEqualTo, mglength.MaxClasses)
	})
}

func BenchmarkCurve(b *testing.B) {
	for _, accounts := range []int{10, 35_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			var e mglength.Estimator
			keys := make([]mglength.Key, accounts)
			for n := range keys {
				keys[n] = report
				keys[n].Account = fmt.Sprint(n)
				addLengths(&e, keys[n], n)
			}
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				a := e.Begin(keys[n%min(accounts, mglength.MaxClasses)])
				a.End(n % 4096)
				_ = e.Curve(keys[n%accounts]).MeanRemaining(100, 0)
				n++
			}
		})
	}
}

func BenchmarkProgress(b *testing.B) {
	var e mglength.Estimator
	a := e.Begin(report)
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		a.Progress(n)
		n++
	}
}
