package mgclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclient"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// patience bounds a test that hangs; no verdict depends on it.
const hangTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A gauger reads a shift report as it is written. The entry or the link to it
// fails somewhere on the way, once or twice. The gauger must read each token
// once and in order, or be told that the report isn't whole; and a report that
// may be running is never started a second time.
func TestAnswerLosesOrRepeatsTokens(t *testing.T) {
	cases := []struct {
		name    string
		steps   []step
		silence mgclock.Millis
		text    string
		kind    mgproblem.Kind // empty when the answer is whole
		outcome mgproblem.Outcome
		asked   []string
	}{
		{
			name:  "nothing fails",
			steps: []step{sendAndFinish("a", 1, 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest},
		},
		{
			name:  "the connection is cut",
			steps: []step{sendAndCut("a", 1, 2), sendAndFinish("a", 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, resumeRequest + "2"},
		},
		{
			name:  "the connection is cut twice, and tokens come twice",
			steps: []step{sendAndCut("a", 1, 2), sendAndCut("a", 1, 2, 3), sendAndFinish("a", 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, resumeRequest + "2", resumeRequest + "3"},
		},
		{
			name:    "the connection falls silent for good",
			steps:   []step{sendAndHang("a", 1, 2), sendAndFinish("a", 1, 2, 3, 4)},
			silence: 100,
			text:    "1,2,3,4,",
		},
		{
			name:  "a token is missing",
			steps: []step{sendAndCut("a", 1, 3), sendAndFinish("a", 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, resumeRequest + "1"},
		},
		{
			name:  "another answer's token comes",
			steps: []step{sendAndCut("a", 1, 2), sendAndCut("b", 3), sendAndFinish("a", 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, resumeRequest + "2", resumeRequest + "2"},
		},
		{
			name:  "the end comes before the last tokens",
			steps: []step{sendAndFinish("a", 1, 2), sendAndFinish("a", 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, resumeRequest + "2"},
		},
		{
			name:  "the next entry isn't ready",
			steps: []step{sendAndCut("a", 1), refuseWith(mgproblem.Unready), sendAndFinish("a", 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, resumeRequest + "1", resumeRequest + "1"},
		},
		{
			name:  "it is turned away and comes back when told",
			steps: []step{refuseWith(mgproblem.Crowded), sendAndFinish("a", 1, 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, postRequest},
		},
		{
			name:  "it was given a name, waited, and attested not run",
			steps: []step{failWith(mgproblem.Crowded, mgproblem.NotRun), sendAndFinish("a", 1, 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, postRequest},
		},
		{
			name:  "its name came ahead, and it was turned away",
			steps: []step{withEarlyHints(refuseWith(mgproblem.Crowded)), sendAndFinish("a", 1, 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, postRequest},
		},
		{
			name:  "its name came ahead, and it was started anew elsewhere",
			steps: []step{withEarlyHints(sendAndCut("b", 1, 2)), sendAndFinish("b", 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, "GET /v1/answers/b b.2"},
		},
		{
			name:  "its name came ahead, and the entry dies",
			steps: []step{withEarlyHints(abort), sendAndFinish("a", 1, 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, resumeRequest + "0"},
		},
		{
			// A lookup's engine dies before the first token. The entry starts over
			// elsewhere and streams under a new name, and the caller, who held to
			// the first name, gave the right answer up.
			name:  "its name came ahead, and it started over elsewhere",
			steps: []step{withEarlyHints(withLaterName("b", sendAndFinish("b", 1, 2, 3, 4)))},
			text:  "1,2,3,4,",
			asked: []string{postRequest},
		},
		{
			name:  "it started over elsewhere, and the entry dies",
			steps: []step{withEarlyHints(withLaterName("b", abort)), sendAndFinish("b", 1, 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, "GET /v1/answers/b b.0"},
		},
		{
			name: "its name came ahead, and its generation was lost",
			steps: []step{withEarlyHints(func(w http.ResponseWriter, _ *http.Request) {
				mgproblem.Write(w, mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown, "a test", "none").WithRetry(1))
			})},
			kind:    mgproblem.Interrupted,
			outcome: mgproblem.Unknown,
			asked:   []string{postRequest},
		},
		{
			name:    "the entry dies before it answers",
			steps:   []step{abort},
			kind:    mgproblem.Unconfirmed,
			outcome: mgproblem.Unknown,
			asked:   []string{postRequest},
		},
		{
			name:    "the engine dies in the middle",
			steps:   []step{failWith(mgproblem.Interrupted, mgproblem.Unknown, 1, 2)},
			text:    "1,2,",
			kind:    mgproblem.Interrupted,
			outcome: mgproblem.Unknown,
			asked:   []string{postRequest},
		},
		{
			name:    "the key is wrong",
			steps:   []step{refuseWith(mgproblem.Stranger)},
			kind:    mgproblem.Stranger,
			outcome: mgproblem.NotRun,
		},
		{
			name:    "its resume is refused, which says nothing of the answer",
			steps:   []step{sendAndCut("a", 1), refuseWith(mgproblem.Stranger)},
			text:    "1,",
			kind:    mgproblem.Stranger,
			outcome: mgproblem.Unknown,
		},
		{
			name:    "each try to resume fails",
			steps:   []step{sendAndCut("a", 1), abort, abort, abort, abort, abort, abort},
			text:    "1,",
			kind:    mgproblem.Interrupted,
			outcome: mgproblem.Unknown,
		},
	}
	Convey("An answer when", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				e := newFakeEntries(c.steps...)
				ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
				defer cancel()
				var got string
				answer, err := e.client(c.silence).Complete(ctx, mgclient.Request{
					Model: "reports",
				}, func(token mgclient.Token) error {
					got += token.Text()
					return nil
				})
				So(got, ShouldEqual, c.text)
				So(answer.Text(), ShouldEqual, c.text)
				if c.asked != nil {
					So(e.requests(), ShouldResemble, c.asked)
				}
				if c.kind == "" {
					So(err, ShouldBeNil)
					So(answer.End(), ShouldEqual, "stop")
					return
				}
				So(mgproblem.From(err).Kind(), ShouldEqual, c.kind)
				So(mgproblem.From(err).Outcome(), ShouldEqual, c.outcome)
				So(answer.End(), ShouldBeEmpty)
			})
		}
	})
}

// booked is a service's reply.
func replyBooked(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "booked") }

// A gauger books a transfer ticket and the reply is lost. Booked again under a
// new name it would move two barrels; not booked again it may move none. Under
// an operation id each try names the same operation; without one there is no
// second try, and the gauger is told that nobody knows.
func TestLostReplyRunsCallTwice(t *testing.T) {
	const write, read = "POST /v1/services/tickets/book ", "GET /v1/services/tickets/book "
	cases := []struct {
		name      string
		method    string
		operation string
		steps     []step
		kind      mgproblem.Kind // empty when a reply came
		outcome   mgproblem.Outcome
		asked     []string
	}{
		{
			name:      "a write under an operation id is sent again under the same",
			method:    http.MethodPost,
			operation: "op",
			steps:     []step{abort, abort, replyBooked},
			asked:     []string{write + "op", write + "op", write + "op"},
		},
		{
			name:    "a write without one is sent once",
			method:  http.MethodPost,
			steps:   []step{abort, replyBooked},
			kind:    mgproblem.Unconfirmed,
			outcome: mgproblem.Unknown,
			asked:   []string{write},
		},
		{
			name:   "a lookup is sent again",
			method: http.MethodGet,
			steps:  []step{abort, replyBooked},
			asked:  []string{read, read},
		},
		{
			name:   "a write that didn't run is sent again when told",
			method: http.MethodPost,
			steps:  []step{refuseWith(mgproblem.Crowded), replyBooked},
			asked:  []string{write, write},
		},
		{
			name:      "not run speaks for the last try only",
			method:    http.MethodPost,
			operation: "op",
			steps:     []step{abort, refuseWith(mgproblem.Forbidden)},
			kind:      mgproblem.Unconfirmed,
			outcome:   mgproblem.Unknown,
		},
		{
			name:   "the service's own error is a reply",
			method: http.MethodPost,
			steps: []step{func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
				replyBooked(w, r)
			}},
			asked: []string{write},
		},
	}
	Convey("A call of a service:", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				e := newFakeEntries(c.steps...)
				ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
				defer cancel()
				reply, err := e.client(0).Call(ctx, mgclient.CallSpec{
					Service:   "tickets",
					Method:    c.method,
					Path:      "book",
					Operation: c.operation,
				})
				if c.asked != nil {
					So(e.requests(), ShouldResemble, c.asked)
				}
				if c.kind == "" {
					So(err, ShouldBeNil)
					So(string(reply.Body), ShouldEqual, "booked")
					return
				}
				So(mgproblem.From(err).Kind(), ShouldEqual, c.kind)
				So(mgproblem.From(err).Outcome(), ShouldEqual, c.outcome)
			})
		}
	})
}

// All entries are gone, as in the first seconds of a replacement. Nothing was
// sent, and the caller is told so.
func TestUnreachableEntriesNotReportedNotRun(t *testing.T) {
	Convey("Without an entry nothing ran", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		client := mgclient.New(mgclient.Spec{
			Bases:  []string{"http://" + l.Addr().String()},
			Tries:  2,
			Jitter: func() float64 { return 0 },
		})
		_, err = client.Complete(context.Background(), mgclient.Request{}, nil)
		So(mgproblem.From(err).Outcome(), ShouldEqual, mgproblem.NotRun)
		_, err = client.Mint(context.Background(), "tickets")
		So(mgproblem.From(err).Outcome(), ShouldEqual, mgproblem.NotRun)
		_, err = (&mgclient.Client{}).Mint(context.Background(), "tickets")
		So(mgproblem.From(err).Kind(), ShouldEqual, mgproblem.Invalid)
	})
}
