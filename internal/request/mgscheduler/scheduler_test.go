package mgscheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgadmission"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgscheduler"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

var smallSpec = mgscheduler.Spec{
	Memory: 20_000,
	Batch:  16,
}

// Guards against this failure: five hundred requests come within one second, and some
// can't be answered in time. Their callers learn it only at the deadline or never, and the
// answers to the others are late as well.
func TestBurstMissesDeadlines(t *testing.T) {
	Convey("In a burst", t, func() {
		u := newUpstream(smallSpec)
		calls := make([]*call, 0, 500)
		for n := range 500 {
			calls = append(calls, u.send(fmt.Sprint(n%10), "note", 100, 10*mgclock.Second))
			u.runUntil(mgclock.Millis(2 * n))
		}
		u.runUntil(mgclock.Minute)

		Convey("each caller is refused or answered in time", func() {
			answered := 0
			for _, c := range calls {
				if c.problem != nil {
					So(c.problemAt, ShouldBeLessThanOrEqualTo, c.request.Deadline)
					So(c.problem.Outcome(), ShouldEqual, mgproblem.NotRun)
					So(c.problem.RetryAfter(), ShouldBeGreaterThan, 0)
					So(c.isStarted, ShouldBeFalse)
					continue
				}
				So(c.firstTokenAt, ShouldBeLessThanOrEqualTo, c.request.Deadline)
				answered++
			}
			// 16 at a time, 2 s each, for 10 s and the time of the first batch.
			So(answered, ShouldBeGreaterThanOrEqualTo, 5*16)
		})
	})
}

// Guards against this failure: a caller returns after the given retry time and is refused
// again and again, because the time is not derived from the work ahead.
func TestRetryTimeIsTooShort(t *testing.T) {
	Convey("A caller that returns after the retry time is accepted", t, func() {
		u := newUpstream(smallSpec)
		var c *call
		for n := 0; ; n++ {
			c = u.send(fmt.Sprint(n%10), "note", 100, 20*mgclock.Second)
			u.runUntil(u.now + 40)
			if c.problem != nil {
				break
			}
		}
		u.runUntil(u.now + c.problem.RetryAfter() + u.step)
		again := u.send(c.request.Account, "note", 100, 20*mgclock.Second)
		So(again.problem, ShouldBeNil)
		u.runUntil(u.now + mgclock.Minute)
		So(again.problem, ShouldBeNil)
		So(again.firstTokenAt, ShouldBeLessThanOrEqualTo, again.request.Deadline)
	})
}

// Guards against this failure: one account's batch job occupies the engine, and the
// requests of nine other accounts time out although they ask for little.
func TestHeavyAccountDelaysOthers(t *testing.T) {
	Convey("A heavy account doesn't delay others", t, func() {
		u := newUpstream(smallSpec)
		heavy, light := 0, []*call(nil)
		for u.now < 2*mgclock.Minute {
			for range 4 {
				u.send("heavy", "batch", 100, 30*mgclock.Second)
			}
			if u.now%mgclock.Second == 0 {
				light = append(light, u.send(fmt.Sprint("light", u.now/mgclock.Second%9), "note", 100, 30*mgclock.Second))
			}
			u.runUntil(u.now + 200)
		}
		for _, c := range u.calls {
			if c.request.Account == "heavy" && c.endedAt > 0 {
				heavy++
			}
		}
		for _, c := range light[:len(light)-10] {
			So(c.problem, ShouldBeNil)
			So(c.firstTokenAt-c.request.Deadline+30*mgclock.Second, ShouldBeLessThan, 3*mgclock.Second)
		}
		// The heavy account gets what the light ones leave of 8 answers a second.
		So(heavy, ShouldBeGreaterThan, 120*6)
	})
}

// Guards against this failure: an upstream becomes ten times slower. Requests are accepted
// as before, and all of them wait until their deadline.
func TestSlowUpstreamStillAccepts(t *testing.T) {
	Convey("When the upstream becomes slow, more requests are refused at once", t, func() {
		u := newUpstream(smallSpec)
		load := func(until mgclock.Millis) (refused, late int) {
			for u.now < until {
				c := u.send(fmt.Sprint(u.now/200%7), "note", 100, 15*mgclock.Second)
				sentAt := u.now
				u.runUntil(u.now + 200)
				if c.problem != nil && c.problemAt == sentAt {
					refused++
				}
			}
			for _, c := range u.calls {
				if c.problem != nil && c.problem.Kind() == mgproblem.DeadlineExceeded {
					late++
				}
			}
			return refused, late
		}
		refused, late := load(mgclock.Minute)
		So(refused+late, ShouldEqual, 0)
		u.step = 200
		refused, late = load(4 * mgclock.Minute)
		So(refused, ShouldBeGreaterThan, 600)
		So(late, ShouldBeLessThan, refused/4)
		for _, c := range u.calls {
			if c.problem != nil {
				So(c.problemAt, ShouldBeLessThanOrEqualTo, c.request.Deadline)
			}
		}
	})
}

// Guards against this failure: a lookup takes a minute, because the batch is full of
// reports and more of them wait ahead of it.
func TestReportsDelayLookups(t *testing.T) {
	Convey("Lookups overtake the reports that wait", t, func() {
		u := newUpstream(smallSpec)
		r := rand.New(rand.NewPCG(5, 6))
		lookups := []*call(nil)
		for u.now < 5*mgclock.Minute {
			u.send("tank", "report", 500+r.IntN(1000), mgclock.Minute)
			lookups = append(lookups, u.send("tank", "lookup", 10, 10*mgclock.Second))
			u.runUntil(u.now + mgclock.Second)
		}
		u.runUntil(u.now + mgclock.Minute)
		inTime := 0
		for _, c := range lookups {
			if c.problem == nil {
				So(c.firstTokenAt, ShouldBeLessThanOrEqualTo, c.request.Deadline)
				inTime++
			}
		}
		So(inTime, ShouldBeGreaterThan, len(lookups)*9/10)
	})
}

// Guards against this failure: a request with a long prompt waits for memory. Either all
// lookups wait behind it, or they take all memory that becomes free, and it never starts.
func TestLongPromptBlocksOrStarves(t *testing.T) {
	Convey("While a long prompt waits for memory", t, func() {
		u := newUpstream(mgscheduler.Spec{
			Memory: 1000,
			Policy: mgscheduler.Policy{
				Rule:       mgadmission.CurrentSize,
				Overtaking: 1,
			},
		})
		for range 40 {
			u.sendPrompt("lookup", 50, 10)
		}
		u.runUntil(10 * mgclock.Second)
		running := u.sendPrompt("note", 600, 200)
		waiting := u.sendPrompt("report", 500, 200)
		lookups := []*call(nil)
		start := u.now
		for u.now < start+10*mgclock.Second {
			lookups = append(lookups, u.sendPrompt("lookup", 50, 10))
			u.runUntil(u.now + 200)
		}
		Convey("some lookups that fit overtake it", func() {
			for _, c := range lookups[:3] {
				So(c.firstTokenAt, ShouldBeBetween, start, start+1100)
			}
		})
		Convey("and it starts soon after there is memory", func() {
			So(waiting.firstTokenAt, ShouldBeBetween, running.endedAt, running.endedAt+mgclock.Second)
		})
	})
}

// Guards against this failure: an agent is replaced while eight long answers run. The new
// one assumes that the engine is empty and starts a full batch, and the engine preempts
// all of them.
func TestRunningAnswersAreNotCounted(t *testing.T) {
	Convey("What the upstream already runs is counted", t, func() {
		u := newUpstream(smallSpec)
		for n := range 8 {
			u.scheduler.Resume(u.now, mgscheduler.Request{
				ID:     fmt.Sprint("old", n),
				Prompt: 2000,
			}, 400)
		}
		So(u.scheduler.Memory(), ShouldEqual, 8*2400)
		waiting := u.sendPrompt("report", 1000, 10)
		So(waiting.isStarted, ShouldBeFalse)
		for n := range 8 {
			u.scheduler.Progress(u.now, fmt.Sprint("old", n), 401)
			u.scheduler.Finish(u.now, fmt.Sprint("old", n))
		}
		u.poll()
		So(waiting.isStarted, ShouldBeTrue)
		So(u.scheduler.Memory(), ShouldEqual, 1000)
	})
}

// Guards against this failure: an engine returns with cold caches and gets a full batch at
// once.
func TestBatchLimitIsExceeded(t *testing.T) {
	Convey("The zero scheduler starts no more than its limit", t, func() {
		u := newUpstream(mgscheduler.Spec{})
		u.scheduler = new(mgscheduler.Scheduler)
		u.scheduler.SetBatch(0, 3)
		for range 10 {
			u.send("tank", "note", 10, 0)
		}
		So(u.scheduler.Running(), ShouldEqual, 3)
		u.scheduler.SetBatch(0, 0)
		u.poll()
		So(u.scheduler.Running(), ShouldEqual, 10)
	})
}

// Guards against this failure: requests that wait for an upstream that is reclaimed are
// kept until it ends, although others could have answered them.
func TestLeavingUpstreamKeepsWaitingRequests(t *testing.T) {
	Convey("A leaving upstream gives up what waits and finishes what runs", t, func() {
		u := newUpstream(smallSpec)
		for range 20 {
			u.send("tank", "note", 100, 0)
		}
		u.scheduler.Leave(u.now)
		u.poll()
		So(u.send("tank", "note", 100, 0).problem.Kind(), ShouldEqual, mgproblem.Leaving)
		u.runUntil(mgclock.Minute)
		ended, givenUp := 0, 0
		for _, c := range u.calls {
			switch {
			case c.endedAt > 0:
				ended++
			case c.problem.Kind() == mgproblem.Leaving:
				givenUp++
			}
		}
		So(ended, ShouldEqual, 16)
		So(givenUp, ShouldEqual, 5)
	})
}

// For any sequence of events, each request gets exactly one outcome, an idle upstream
// starts what waits, nothing is given up after its deadline, and an idle scheduler holds no
// memory.
func TestRequestWithoutSingleOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := newUpstream(mgscheduler.Spec{
			Memory: rapid.Int64Range(200, 5000).Draw(t, "memory"),
			Batch:  rapid.IntRange(1, 8).Draw(t, "batch"),
			Queue:  rapid.IntRange(1, 32).Draw(t, "queue"),
			Policy: mgscheduler.Policy{
				Rule: rapid.SampledFrom([]mgadmission.Rule{mgadmission.OverflowProbability, mgadmission.Watermark, mgadmission.Reserve, mgadmission.CurrentSize}).Draw(t, "rule"),
			},
		})
		withdrawn := map[string]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				u.send(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), "note",
					rapid.IntRange(1, 40).Draw(t, "length"), mgclock.Millis(rapid.IntRange(0, 500).Draw(t, "allowed")))
			case 2:
				id := fmt.Sprint(rapid.IntRange(0, len(u.calls)).Draw(t, "id"))
				if u.scheduler.Withdraw(u.now, id) {
					withdrawn[id] = true
				}
			case 3:
				if len(u.running) > 0 {
					u.scheduler.RecordPreemption(u.now, u.running[0].request.ID)
				}
			}
			u.runUntil(u.now + 20)
			if u.scheduler.Queued() > 0 && u.scheduler.Running() == 0 {
				t.Fatal("the upstream is idle while requests wait")
			}
			if u.scheduler.Running() != len(u.running) {
				t.Fatalf("%d requests run, Running returns %d", len(u.running), u.scheduler.Running())
			}
		}
		u.runUntil(u.now + 10*mgclock.Minute)
		for id, c := range u.calls {
			outcomes := 0
			for _, is := range []bool{c.endedAt > 0, c.problem != nil, withdrawn[id]} {
				if is {
					outcomes++
				}
			}
			if outcomes != 1 {
				t.Fatalf("request %s has %d outcomes", id, outcomes)
			}
			if c.problem != nil && c.request.Deadline > 0 && c.problemAt > c.request.Deadline {
				t.Fatalf("request %s was given up after its deadline", id)
			}
		}
		if u.scheduler.Memory() != 0 {
			t.Fatalf("an idle scheduler holds %d tokens", u.scheduler.Memory())
		}
	})
}

// BenchmarkOffer and BenchmarkStart measure the two decisions made for each request, by the
// number of known accounts.
func BenchmarkOffer(b *testing.B) {
	for _, accounts := range []int{10, 35_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			s, requests := newKnownAccounts(accounts)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				_ = s.Offer(mgclock.Millis(n), requests[n%accounts])
				n++
			}
		})
	}
}

func BenchmarkStart(b *testing.B) {
	for _, accounts := range []int{10, 35_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			s, requests := newKnownAccounts(accounts)
			n := 0
			var decisions []mgscheduler.Decision
			b.ReportAllocs()
			for b.Loop() {
				now := mgclock.Millis(n)
				r := &requests[n%accounts]
				if s.Submit(now, *r) != nil {
					b.Fatal("refused")
				}
				decisions = s.Poll(now, decisions[:0])
				for _, d := range decisions {
					s.Progress(now, d.ID, 1)
					s.Finish(now, d.ID)
				}
				n++
			}
		})
	}
}

// newKnownAccounts returns a scheduler that has answered one request of each account, and
// those requests.
func newKnownAccounts(accounts int) (*mgscheduler.Scheduler, []mgscheduler.Request) {
	s := mgscheduler.New(smallSpec)
	requests := make([]mgscheduler.Request, accounts)
	for n := range requests {
		requests[n] = mgscheduler.Request{
			ID:       fmt.Sprint(n),
			Account:  fmt.Sprint("account", n),
			Service:  "note",
			Prompt:   100,
			Deadline: 1 << 40,
		}
		_ = s.Submit(0, requests[n])
		for _, d := range s.Poll(0, nil) {
			s.Progress(0, d.ID, 20+n%200)
			s.Finish(0, d.ID)
		}
	}
	return s, requests
}
