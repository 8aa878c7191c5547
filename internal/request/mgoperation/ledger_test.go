package mgoperation_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgoperation"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

const window = 10 * mgclock.Second

func start(id string, stamp, deadline mgclock.Millis) mgoperation.StartSpec {
	return mgoperation.StartSpec{
		ID:         id,
		Stamp:      stamp,
		Deadline:   deadline,
		Generation: "g-" + id,
	}
}

func resultOf(outcome mgproblem.Outcome) mgoperation.Result {
	return mgoperation.Result{
		Outcome: outcome,
	}
}

func doneResult(body string) mgoperation.Result {
	return mgoperation.Result{
		Outcome: mgproblem.Done,
		Status:  200,
		Body:    []byte(body),
	}
}

// Guards against a caller that gets a wrong outcome of its request: done, not
// run or unknown. Each case applies the events of one sequence in order and
// lists the replies.
func TestCallerToldWrongOutcome(t *testing.T) {
	cases := [][3]string{
		{"it runs", "begin submit finish lookup", "run ok - done"},
		{"its start comes twice", "begin begin submit begin finish begin", "run join ok join - join"},
		{"cancelled before its start arrives", "cancel begin begin", "notrun tombstone/notrun tombstone/notrun"},
		{"cancelled while it is queued", "begin cancel submit begin", "run notrun tombstone/notrun tombstone/notrun"},
		{"cancelled after it was sent", "begin submit cancel finish cancel", "run ok unknown - done"},
		{"its deadline passes in the queue", "begin sleep6 submit begin cancel", "run - late/notrun tombstone/notrun notrun"},
		{"the process pauses with it in the queue", "begin sleep60 submit", "run - late/notrun"},
		{"its start arrives after the window", "sleep11 begin cancel", "- unconfirmed/unknown unknown"},
		{"its copy arrives after it was forgotten", "begin submit finish sleep11 begin cancel", "run ok - - unconfirmed/unknown unknown"},
		{"a tombstone outlives every start", "cancel sleep10 begin sleep1 begin", "notrun - tombstone/notrun - unconfirmed/unknown"},
		{"the upstream can't be reached", "begin submit fail begin cancel", "run ok - tombstone/notrun notrun"},
		{"the upstream doesn't answer after the body", "begin submit lose cancel begin", "run ok - unknown join"},
		{"it is sent only once", "begin submit submit", "run ok unconfirmed/unknown"},
		{"it runs past the window", "begin submit sleep30 begin finish begin sleep11 begin", "run ok - join - join - unconfirmed/unknown"},
		{"another body under its id", "begin other", "run invalid/unknown"},
	}
	Convey("The replies of each sequence of events", t, func() {
		for _, c := range cases {
			Convey(c[0], func() {
				So(playEvents(c[1]), ShouldEqual, c[2])
			})
		}
	})
}

// playEvents applies the events for one entry to a ledger and returns the
// replies.
func playEvents(events string) string {
	ledger := mgoperation.New(mgoperation.Spec{
		Window: window,
	})
	var now mgclock.Millis
	var replies []string
	for _, event := range strings.Fields(events) {
		replies = append(replies, applyEvent(ledger, event, &now))
	}
	return strings.Join(replies, " ")
}

func applyEvent(ledger *mgoperation.Ledger, event string, now *mgclock.Millis) string {
	const id = "op"
	const deadline = 5 * mgclock.Second
	var seconds int64
	if n, _ := fmt.Sscanf(event, "sleep%d", &seconds); n == 1 {
		*now += mgclock.Millis(seconds) * mgclock.Second
		return "-"
	}
	switch event {
	case "begin":
		return verdict(ledger.Begin(start(id, 0, *now+deadline), *now))
	case "other":
		other := start(id, 0, *now+deadline)
		other.Digest = 1
		return verdict(ledger.Begin(other, *now))
	case "submit":
		return problem(ledger.MarkSent(id, *now))
	case "finish":
		ledger.Finish(id, doneResult("ticket"), *now)
	case "fail":
		ledger.Finish(id, resultOf(mgproblem.NotRun), *now)
	case "lose":
		ledger.Finish(id, resultOf(mgproblem.Unknown), *now)
	case "cancel":
		return string(ledger.Cancel(id, 0, *now))
	case "lookup":
		_, result := ledger.Lookup(id)
		return string(result.Outcome)
	}
	return "-"
}

func verdict(v mgoperation.Verdict) string {
	switch v.Action() {
	case mgoperation.Run:
		return "run"
	case mgoperation.Join:
		return "join"
	default:
		return problem(v.Problem())
	}
}

func problem(p *mgproblem.Problem) string {
	if p == nil {
		return "ok"
	}
	return fmt.Sprintf("%s/%s", p.Kind(), p.Outcome())
}

// Guards against a full ledger that forgets a refusal: a burst of writes fills
// an agent's ledger. It must refuse instead of growing, and a refused entry
// must stay not run when a copy of its start arrives after entries were
// forgotten.
func TestFullLedgerForgetsRefusal(t *testing.T) {
	Convey("A full ledger refuses, and its refusal holds", t, func() {
		ledger := mgoperation.New(mgoperation.Spec{
			Window:     window,
			MaxRecords: 2,
		})
		ledger.Cancel("a", 0, 0)
		ledger.Cancel("b", 0, 0)
		So(verdict(ledger.Begin(start("c", 5, 9*window), 5)), ShouldEqual, "crowded/notrun")
		So(ledger.Len(), ShouldEqual, 2)
		later := window + 2
		So(verdict(ledger.Begin(start("c", 5, 9*window), later)), ShouldEqual, "crowded/notrun")
		So(verdict(ledger.Begin(start("d", later, 9*window), later)), ShouldEqual, "run")
	})
	Convey("Old bodies are dropped, their outcomes stay", t, func() {
		ledger := mgoperation.New(mgoperation.Spec{
			Window:       window,
			MaxBodyBytes: 10,
		})
		for _, id := range []string{"a", "b", "c"} {
			ledger.Begin(start(id, 0, window), 0)
			ledger.MarkSent(id, 0)
			ledger.Finish(id, doneResult("1234"), 0)
		}
		_, first := ledger.Lookup("a")
		_, last := ledger.Lookup("c")
		So(first.Trimmed, ShouldBeTrue)
		So(first.Outcome, ShouldEqual, mgproblem.Done)
		So(string(last.Body), ShouldEqual, "1234")
	})
}

// Guards against a second run at a new agent: an agent is replaced while an
// operation runs, and the caller repeats it with the same ID. The new agent has
// no record of it, so it must answer "unknown" and not run it, whatever the
// ID's age.
func TestReplacedAgentRunsAgain(t *testing.T) {
	var seal mgseal.Signer
	old := mgoperation.NewMinter(&seal, "portal-1", "i1")
	id := old.Mint("cooperativa", "submit", 7)
	Convey("A replaced agent answers unknown", t, func() {
		operation, err := mgoperation.Open(&seal, "cooperativa", "submit", id)
		So(err, ShouldBeNil)
		So(operation.Agent(), ShouldEqual, "portal-1")
		So(operation.Stamp(), ShouldEqual, mgclock.Millis(7))
		So(old.Check(operation), ShouldBeNil)
		next := mgoperation.NewMinter(&seal, "portal-1", "i2")
		So(problem(next.Check(operation)), ShouldEqual, "incarnation/unknown")
	})
	Convey("An id opens for its account and service only", t, func() {
		for _, c := range [][3]string{{"tankline", "submit", id}, {"cooperativa", "status", id}, {"cooperativa", "submit", id + "A"}} {
			_, err := mgoperation.Open(&seal, c[0], c[1], c[2])
			So(mgproblem.From(err).Kind(), ShouldEqual, mgproblem.NotFound)
		}
	})
}

// Guards against a promise that can't be kept: a client sends its own UUID as
// Idempotency-Key through two entry processes with different lists of VMs. Each
// would send it to another agent, and the write would run twice. So the key
// must be refused before anything runs. In the cases, never means that calls may
// not be repeated and safe that they may; opaque is a key that the caller made.
func TestOpaqueKeyPromised(t *testing.T) {
	var seal mgseal.Signer
	id := mgoperation.NewMinter(&seal, "app-1", "i1").Mint("tankline", "ticket", 1)
	const opaque = "ticket-4711"
	cases := [][4]string{
		{"no key", "", "never", "single"},
		{"a minted key", id, "never", "pinned"},
		{"an opaque key", opaque, "never", "unpromisable/notrun"},
		{"a UUID with a time in it", "01890a5d-ac96-774b-bcce-b302099a8057", "never", "unpromisable/notrun"},
		{"an opaque key for calls that may be repeated", opaque, "safe", "repeatable"},
	}
	guaranteeNames := map[mgoperation.Guarantee]string{
		mgoperation.Repeatable: "repeatable",
		mgoperation.Single:     "single",
		mgoperation.Pinned:     "pinned",
	}
	Convey("The guarantee for each key", t, func() {
		for _, c := range cases {
			Convey(c[0], func() {
				guarantee, _, err := mgoperation.GuaranteeFor(&seal, mgoperation.KeySpec{
					Account:    "tankline",
					Service:    "ticket",
					Key:        c[1],
					Idempotent: c[2] == "safe",
				})
				got := guaranteeNames[guarantee]
				if err != nil {
					got = problem(mgproblem.From(err))
				}
				So(got, ShouldEqual, c[3])
			})
		}
	})
}

// Guards against a ledger that a long history makes grow beyond the entries of
// one window.
func TestLedgerGrowsUnbounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := mgoperation.New(mgoperation.Spec{
			Window:       window,
			MaxRecords:   50,
			MaxBodyBytes: 100,
		})
		var now mgclock.Millis
		for i := range 200 {
			now += mgclock.Millis(rapid.Int64Range(0, 1000).Draw(t, "wait"))
			id := fmt.Sprint(i)
			if verdict(ledger.Begin(start(id, now, now+window), now)) == "run" && ledger.MarkSent(id, now) == nil {
				ledger.Finish(id, doneResult(strings.Repeat("x", rapid.IntRange(0, 60).Draw(t, "size"))), now)
			}
			if ledger.Len() > 50 {
				t.Fatalf("%d entries", ledger.Len())
			}
		}
		ledger.Cancel("last", now+2*window, now+2*window)
		if ledger.Len() != 1 {
			t.Fatalf("%d entries left after the window", ledger.Len())
		}
	})
}

func FuzzOpen(f *testing.F) {
	var seal mgseal.Signer
	for _, text := range []string{"", "AAAA", strings.Repeat("A", 80), "_-_-", "01890a5d-ac96-774b-bcce-b302099a8057"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if operation, err := mgoperation.Open(&seal, "tankline", "ticket", text); err == nil {
			t.Fatalf("forged %v", operation)
		}
	})
}
