package mgqueue_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgqueue"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

func item(account string, n int, cost float64) mgqueue.Item {
	return mgqueue.Item{
		ID:      fmt.Sprint(account, n),
		Account: account,
		Cost:    cost,
	}
}

// Guards against this failure: a light account that sends one lookup a minute waits
// minutes for each, behind hundreds of requests that a heavy account sent first.
func TestHeavyAccountDelaysOthers(t *testing.T) {
	Convey("Behind a heavy account's backlog", t, func() {
		var q mgqueue.Queue
		for n := range 500 {
			So(q.Push(0, item("heavy", n, 100)), ShouldBeNil)
		}
		_, _ = q.Pop()
		So(q.Push(1, item("light", 0, 100)), ShouldBeNil)

		Convey("a light account is second at the latest", func() {
			So(position(&q, "light0"), ShouldBeLessThanOrEqualTo, 2)
		})
		Convey("a priority of the heavy account overtakes only its own requests", func() {
			urgent := item("heavy", 1000, 1)
			urgent.Priority = 1
			So(q.Push(1, urgent), ShouldBeNil)
			So(position(&q, "heavy1000"), ShouldBeLessThanOrEqualTo, 2)
		})
		Convey("a newcomer's request is accepted however much the heavy one sends", func() {
			n := 1000
			for q.Push(1, item("heavy", n, 100)) == nil {
				n++
			}
			So(q.Push(1, item("newcomer", 0, 100)), ShouldBeNil)
		})
	})
}

// Guards against this failure: a report never starts while lookups keep coming, because
// each new lookup has the higher priority and overtakes it.
func TestPriorityStarvesOthers(t *testing.T) {
	Convey("A report overtaken by lookups leaves after the boost", t, func() {
		var q mgqueue.Queue
		So(q.Push(0, item("tank", 0, 1000)), ShouldBeNil)
		leftAt := mgclock.Millis(-1)
		for now := mgclock.Millis(1); now < mgclock.Minute && leftAt < 0; now += 100 {
			lookup := item("tank", int(now), 10)
			lookup.Priority = 1
			So(q.Push(now, lookup), ShouldBeNil)
			if got, _ := q.Pop(); got.ID == "tank0" {
				leftAt = now
			}
		}
		So(leftAt, ShouldBeBetween, 0, mgqueue.DefaultBoost+200)
	})
}

// Guards against this failure: an account whose answers run ten times longer than expected
// takes ten times its share, because it is charged the expected cost; one whose answers
// are short gets a tenth.
func TestUnexpectedLengthSkewsShares(t *testing.T) {
	Convey("Actual lengths determine the shares", t, func() {
		q := mgqueue.New(mgqueue.Spec{
			Capacity: 4096,
		})
		got := map[string]float64{}
		actualLength := map[string]float64{
			"long":  1000,
			"right": 100,
			"short": 60,
		}
		for n := range 400 {
			_ = q.Push(0, item("long", n, 100))
			_ = q.Push(0, item("right", n, 100))
			_ = q.Push(0, item("short", n, 100))
		}
		for range 500 {
			it, _ := q.Pop()
			got[it.Account] += actualLength[it.Account]
			q.Charge(it.Account, 1, actualLength[it.Account]-it.Cost)
		}
		So(got["long"]/got["right"], ShouldBeBetween, 0.95, 1.05)
		So(got["short"]/got["right"], ShouldBeBetween, 0.95, 1.05)
	})
}

// Guards against this failure: an account is charged for long answers, gets short ones,
// and the refund sets its tag so far back that a newcomer waits for minutes.
func TestRefundDelaysNewcomer(t *testing.T) {
	Convey("A refund delays no account that came since", t, func() {
		var q mgqueue.Queue
		for n := range 500 {
			_ = q.Push(0, item("first", n, 1000))
		}
		for range 50 {
			_, _ = q.Pop()
		}
		_ = q.Push(0, item("newcomer", 0, 1000))
		q.Charge("first", 1, -50*900)
		So(position(&q, "newcomer0"), ShouldBeLessThanOrEqualTo, 2)
	})
}

// Guards against this failure: a lookup waits behind nine other accounts' reports, because
// a report of its own account ran just before.
func TestPriorityWaitsForAccountTurn(t *testing.T) {
	Convey("A request with priority goes before its account's turn, within the loan", t, func() {
		var q mgqueue.Queue
		_ = q.Push(0, item("tank", 0, 400))
		_, _ = q.Pop()
		for n := range 9 {
			_ = q.Push(1, item(fmt.Sprint("other", n), 0, 400))
		}
		lookup := item("tank", 1, 10)
		lookup.Priority = 1
		_ = q.Push(1, lookup)
		got, _ := q.Pop()
		So(got.ID, ShouldEqual, "tank1")

		Convey("and many of them don't exceed it", func() {
			for n := range 1000 {
				lookup = item("tank", 2+n, 10)
				lookup.Priority = 1
				_ = q.Push(1, lookup)
			}
			So(position(&q, "other00"), ShouldBeLessThan, mgqueue.DefaultLoan/10+2)
		})
	})
}

// Guards against this failure: requests are reported as expired long after their expiry,
// because only the head of the queue is checked.
func TestExpiryIsOutOfOrder(t *testing.T) {
	Convey("Requests expire in the order of their expiry", t, func() {
		var q mgqueue.Queue
		for n, expiry := range []mgclock.Millis{300, 100, 0, 200} {
			it := item("a", n, 1)
			it.Expiry = expiry
			So(q.Push(0, it), ShouldBeNil)
		}
		So(q.NextExpiry(), ShouldEqual, 100)
		first, ok := q.Expire(250)
		So(ok, ShouldBeTrue)
		So(first.ID, ShouldEqual, "a1")
		second, _ := q.Expire(250)
		So(second.ID, ShouldEqual, "a3")
		_, ok = q.Expire(250)
		So(ok, ShouldBeFalse)
		So(q.Len(), ShouldEqual, 2)
	})
}

func position(q *mgqueue.Queue, id string) int {
	for n := 1; ; n++ {
		got, ok := q.Pop()
		if !ok {
			return -1
		}
		if got.ID == id {
			return n
		}
	}
}

// For any sequence of operations, each accepted request leaves the queue once, Pop returns
// a request whenever one waits, and an idle queue holds no accounts and no backlog.
func TestRequestIsLostOrQueueIsIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := mgqueue.New(mgqueue.Spec{
			Capacity: rapid.IntRange(1, 64).Draw(t, "bound"),
		})
		held := map[string]bool{}
		leave := func(got mgqueue.Item, ok bool) {
			if ok != held[got.ID] {
				t.Fatalf("%q left the queue, was waiting: %v", got.ID, held[got.ID])
			}
			delete(held, got.ID)
		}
		for n := range rapid.IntRange(1, 300).Draw(t, "steps") {
			now := mgclock.Millis(n)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				it := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), n, rapid.Float64Range(0, 1e4).Draw(t, "cost"))
				it.Priority = rapid.IntRange(-1, 5).Draw(t, "priority")
				it.Weight = rapid.Float64Range(0, 8).Draw(t, "weight")
				it.Expiry = now + mgclock.Millis(rapid.IntRange(0, 50).Draw(t, "expiry"))
				if q.Push(now, it) == nil {
					held[it.ID] = true
				}
			case 3:
				before := q.Len()
				got, ok := q.Pop()
				if ok != (before > 0) {
					t.Fatalf("%d requests wait and Pop returns %v", before, ok)
				}
				leave(got, ok)
				q.Charge(got.Account, got.Weight, rapid.Float64Range(-got.Cost, 1e4).Draw(t, "charge"))
			case 4:
				leave(q.Expire(now))
			case 5:
				leave(q.Remove(fmt.Sprint("a", rapid.IntRange(0, n).Draw(t, "id"))))
			}
			if q.Len() != len(held) {
				t.Fatalf("Len is %d, want %d", q.Len(), len(held))
			}
		}
		for q.Len() > 0 {
			leave(q.Pop())
		}
		q.EndBusyPeriod()
		if q.Accounts() != 0 || q.Backlog() != 0 {
			t.Fatalf("an idle queue has %d accounts and a backlog of %v", q.Accounts(), q.Backlog())
		}
	})
}

func TestSharesDeviateFromWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q mgqueue.Queue
		weights := rapid.SliceOfN(rapid.Float64Range(1, 8), 2, 6).Draw(t, "weights")
		served := make([]float64, len(weights))
		for k, w := range weights {
			for n := range 200 {
				it := item(fmt.Sprint(k, "-"), n, rapid.Float64Range(1, 100).Draw(t, "cost"))
				it.Weight = w
				if q.Push(0, it) != nil {
					t.Fatal("the queue is full")
				}
			}
		}
		for range 100 {
			got, _ := q.Pop()
			var k int
			_, _ = fmt.Sscanf(got.Account, "%d-", &k)
			served[k] += got.Cost / weights[k]
		}
		// Goyal et al. bound the gap of two backlogged accounts by the sum, over both, of
		// the largest request over the weight.
		for k := range served {
			for l := range served {
				if gap := served[k] - served[l]; gap > 100/weights[k]+100/weights[l]+1e-6 {
					t.Fatalf("account %d is %v ahead of account %d", k, gap, l)
				}
			}
		}
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, accounts := range []int{10, 35_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			items := make([]mgqueue.Item, accounts)
			q := mgqueue.New(mgqueue.Spec{
				Capacity: 4 * accounts,
			})
			for n := range items {
				items[n] = item(fmt.Sprint("account", n), n, float64(n%997))
				_ = q.Push(0, items[n])
			}
			b.ReportAllocs()
			for b.Loop() {
				got, _ := q.Pop()
				_ = q.Push(0, got)
			}
		})
	}
}
