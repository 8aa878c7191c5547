package mgretry_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newProblem(kind mgproblem.Kind, outcome mgproblem.Outcome) *mgproblem.Problem {
	return mgproblem.New(kind, outcome, "it failed", "try again")
}

// Guards against a storm of retries: an outage of a minute ends, and the
// engines are overloaded within a second because everything that failed in that
// minute is retried at once.
func TestRetriesStormAfterOutage(t *testing.T) {
	Convey("Through an outage of a minute", t, func() {
		const offered = 100 // new requests per second
		var b mgretry.Budget
		r := newRand()
		attempts := make([]int, 200)
		again := make([][]int, 500) // tries of the retried requests, by second
		for second := range attempts {
			up := second < 60 || second >= 120
			try := func(tries int) {
				attempts[second]++
				if up {
					b.Earn(mgretry.Ratio)
					return
				}
				now := mgclock.Millis(second) * mgclock.Second
				wait, ok := b.Next(now, mgretry.FailedTry{
					Problem: newProblem(mgproblem.Overloaded, mgproblem.NotRun),
					Tries:   tries,
				}, r)
				if ok {
					at := second + 1 + int(wait/mgclock.Second)
					again[at] = append(again[at], tries+1)
				}
			}
			for range offered {
				try(1)
			}
			for _, tries := range again[second] {
				try(tries)
			}
		}
		Convey("retries stay within the budget", func() {
			sum := 0
			for _, n := range attempts[60:120] {
				sum += n - offered
			}
			So(sum, ShouldBeLessThanOrEqualTo, mgretry.DefaultLimit)
		})
		Convey("and there is no retry storm after it", func() {
			for _, n := range attempts[120:] {
				So(n, ShouldBeLessThan, offered*12/10)
			}
		})
	})
}

// Guards against synchronized retries: after an outage all callers retry within
// the same second although each of them backed off.
func TestCallersRetryInSameSecond(t *testing.T) {
	Convey("A thousand callers that failed together", t, func() {
		r := newRand()
		perSecond := map[mgclock.Millis]int{}
		const outage = 5 * mgclock.Minute
		for range 1000 {
			now := mgclock.Millis(0)
			for tries := 1; now < outage; tries++ {
				now += mgretry.Backoff(tries, 0, r)
			}
			So(now, ShouldBeLessThanOrEqualTo, outage+mgretry.MaxBackoff)
			perSecond[now/mgclock.Second]++
		}
		for _, n := range perSecond {
			So(n, ShouldBeLessThan, 120)
		}
	})
}

// Guards against a write that runs twice: the connection broke after it had
// run, and the system sent it again.
func TestWriteRetriedAfterItRan(t *testing.T) {
	allowed := func(kind mgproblem.Kind, outcome mgproblem.Outcome, idempotent, delivered bool) bool {
		return mgretry.Allowed(mgretry.FailedTry{
			Problem:    newProblem(kind, outcome),
			Idempotent: idempotent,
			Delivered:  delivered,
		})
	}
	Convey("Retried is", t, func() {
		Convey("what did not run", func() {
			So(allowed(mgproblem.Overloaded, mgproblem.NotRun, false, false), ShouldBeTrue)
		})
		Convey("of what may have run, a lookup but no write", func() {
			So(allowed(mgproblem.Unconfirmed, mgproblem.Unknown, true, false), ShouldBeTrue)
			So(allowed(mgproblem.Unconfirmed, mgproblem.Unknown, false, false), ShouldBeFalse)
		})
		Convey("nothing that is done, or of which a part was delivered", func() {
			So(allowed(mgproblem.Internal, mgproblem.Done, true, false), ShouldBeFalse)
			So(allowed(mgproblem.Interrupted, mgproblem.Unknown, true, true), ShouldBeFalse)
		})
		Convey("nothing that no upstream would accept", func() {
			So(allowed(mgproblem.Invalid, mgproblem.NotRun, true, false), ShouldBeFalse)
		})
	})
}

// Guards against hedges that add to an overload: an engine becomes slow, each
// lookup exceeds the delay after which a second copy is sent, and the copies
// make it slower.
func TestHedgesOverloadSlowUpstream(t *testing.T) {
	Convey("Hedges", t, func() {
		var h mgretry.Hedge
		r := newRand()
		_, ok := h.Delay()
		So(ok, ShouldBeFalse)
		for range 10_000 {
			h.Observe(mgclock.Millis(10+r.IntN(100)), mgretry.HedgeRatio)
		}
		after, ok := h.Delay()
		So(ok, ShouldBeTrue)
		So(after, ShouldBeBetween, 100, 130)

		Convey("are stopped by the budget when every lookup is slow", func() {
			sent := 0
			for range 1000 {
				if h.Allow() {
					sent++
				}
				h.Observe(2000, mgretry.HedgeRatio)
			}
			So(sent, ShouldBeLessThanOrEqualTo, mgretry.DefaultLimit+1000/20)
			after, _ := h.Delay()
			So(after, ShouldBeGreaterThan, 1500)
		})
	})
}

// For any mix of successes and retries, retries don't exceed the limit plus the
// fraction of successes, and a backoff is at least the requested delay.
func TestBudgetExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b mgretry.Budget
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		earned, spent := 0.0, 0.0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "success") {
				b.Earn(mgretry.Ratio)
				earned += mgretry.Ratio
			} else if b.Spend() {
				spent++
			}
			if spent > mgretry.DefaultLimit+earned+1e-9 || b.Left() < 0 {
				t.Fatalf("%v retries for %v earned, %d left", spent, earned, b.Left())
			}
		}
		retryAfter := mgclock.Millis(rapid.IntRange(0, 100_000).Draw(t, "told"))
		backoff := mgretry.Backoff(rapid.IntRange(0, 100).Draw(t, "tries"), retryAfter, r)
		if backoff < retryAfter || backoff > retryAfter+mgretry.MaxBackoff {
			t.Fatalf("retry after %d, backoff %d", retryAfter, backoff)
		}
	})
}

func BenchmarkNext(b *testing.B) {
	var budgets mgretry.Budgets
	r := newRand()
	a := mgretry.FailedTry{
		Problem: newProblem(mgproblem.Overloaded, mgproblem.NotRun),
		Tries:   1,
	}
	b.ReportAllocs()
	for b.Loop() {
		budget := budgets.Of("report")
		_, _ = budget.Next(0, a, r)
		budget.Earn(1)
	}
}

func BenchmarkHedge(b *testing.B) {
	var h mgretry.Hedge
	n := mgclock.Millis(0)
	b.ReportAllocs()
	for b.Loop() {
		h.Observe(n%1000, mgretry.HedgeRatio)
		_, _ = h.Delay()
		n++
	}
}

// Guards against entries that together retry more than a service allows. An
// engine fails half of its requests. Five entries hold 64 retries each, while
// the service allows all of them together a fifth of its requests plus 56, and
// the retries overload the other engines.
func TestProcessesExceedServiceBudget(t *testing.T) {
	Convey("Processes together hold at most what a service allows", t, func() {
		for _, processes := range []int{1, 2, 5, 24, 50, 51, 57, 300, 1000} {
			sum := 0
			for rank := range processes {
				sum += mgretry.Share(56, processes, rank)
			}
			So(sum, ShouldBeBetweenOrEqual, 1, 56)
		}
		So(mgretry.Share(56, 5, 4), ShouldEqual, 10)
		So(mgretry.Share(246, 104, 103), ShouldEqual, 2)
		So(mgretry.Share(0, 0, 0), ShouldEqual, 0)
		Convey("and no more, once bounded", func() {
			var budgets mgretry.Budgets
			before := budgets.Of("books")
			budgets.SetLimit(mgretry.Share(56, 5, 0))
			for _, b := range []*mgretry.Budget{before, budgets.Of("notes")} {
				spent := 0
				for b.Spend() {
					spent++
				}
				So(spent, ShouldEqual, 10)
			}
		})
	})
}

// Guards against many processes that keep a retry each and spend all of them when the service
// fails: 300 retries where it allows 56 and a fifth of its requests.
func TestManyProcessesKeepRetries(t *testing.T) {
	Convey("Of 300 processes that share 56 retries", t, func() {
		const processes = 300
		budgets := make([]mgretry.Budgets, processes)
		for rank := range budgets {
			budgets[rank].SetLimit(mgretry.Share(56, processes, rank))
		}
		succeed := func(times int) {
			for i := range budgets {
				for range times {
					budgets[i].Of("books").Earn(mgretry.Ratio)
				}
			}
		}
		spendAll := func() int {
			spent := 0
			for i := range budgets {
				for budgets[i].Of("books").Spend() {
					spent++
				}
			}
			return spent
		}
		Convey("all together retry as often as is allowed without a success", func() {
			So(spendAll(), ShouldBeBetweenOrEqual, 1, 56)
		})
		Convey("each retries what its successes have earned", func() {
			spendAll()
			succeed(10)
			So(spendAll(), ShouldEqual, processes)
		})
		Convey("none keeps what it has earned beyond the service's window", func() {
			succeed(100)
			for i := range budgets {
				budgets[i].ExpireEarned()
				budgets[i].SetLimit(mgretry.Share(56, processes, i))
			}
			So(spendAll(), ShouldBeBetweenOrEqual, 1, 56)
		})
	})
}
