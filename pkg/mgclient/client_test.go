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

// hangTimeout limits a test that hangs; no result depends on it.
const hangTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against lost, repeated or reordered tokens when an entry or the connection
// to it fails once or twice. An incomplete answer must be reported as such, and a
// generation that may be running is never started a second time.
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
			name:  "the connection is cut twice and tokens are repeated",
			steps: []step{sendAndCut("a", 1, 2), sendAndCut("a", 1, 2, 3), sendAndFinish("a", 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, resumeRequest + "2", resumeRequest + "3"},
		},
		{
			name:    "the connection stays silent",
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
			name:  "a token of another answer is received",
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
			steps: []step{sendAndCut("a", 1), refuseWith(mgproblem.NotReady), sendAndFinish("a", 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, resumeRequest + "1", resumeRequest + "1"},
		},
		{
			name:  "it is refused and retried after the requested delay",
			steps: []step{refuseWith(mgproblem.Overloaded), sendAndFinish("a", 1, 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, postRequest},
		},
		{
			name:  "it waited and was attested not run in the stream",
			steps: []step{failWith(mgproblem.Overloaded, mgproblem.NotRun), sendAndFinish("a", 1, 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, postRequest},
		},
		{
			name:  "its name came early and it was refused",
			steps: []step{withEarlyHints(refuseWith(mgproblem.Overloaded)), sendAndFinish("a", 1, 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, postRequest},
		},
		{
			name:  "its name came early and the tokens have another name",
			steps: []step{withEarlyHints(sendAndCut("b", 1, 2)), sendAndFinish("b", 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, "GET /v1/answers/b b.2"},
		},
		{
			name:  "its name came early and the entry fails",
			steps: []step{withEarlyHints(abort), sendAndFinish("a", 1, 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, resumeRequest + "0"},
		},
		{
			// Guards against a caller that keeps the first name and so rejects the
			// right answer: the engine fails before the first token, and the entry
			// restarts the generation elsewhere under a new name.
			name:  "its name came early and it was restarted under a new one",
			steps: []step{withEarlyHints(withLaterName("b", sendAndFinish("b", 1, 2, 3, 4)))},
			text:  "1,2,3,4,",
			asked: []string{postRequest},
		},
		{
			name:  "it was restarted under a new name and the entry fails",
			steps: []step{withEarlyHints(withLaterName("b", abort)), sendAndFinish("b", 1, 2, 3, 4)},
			text:  "1,2,3,4,",
			asked: []string{postRequest, "GET /v1/answers/b b.0"},
		},
		{
			name: "its name came early and its generation was lost",
			steps: []step{withEarlyHints(func(w http.ResponseWriter, _ *http.Request) {
				mgproblem.Write(w, mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown, "a test", "none").WithRetryAfter(1))
			})},
			kind:    mgproblem.Interrupted,
			outcome: mgproblem.Unknown,
			asked:   []string{postRequest},
		},
		{
			name:    "the entry fails before it responds",
			steps:   []step{abort},
			kind:    mgproblem.Unconfirmed,
			outcome: mgproblem.Unknown,
			asked:   []string{postRequest},
		},
		{
			name:    "the engine fails after some tokens",
			steps:   []step{failWith(mgproblem.Interrupted, mgproblem.Unknown, 1, 2)},
			text:    "1,2,",
			kind:    mgproblem.Interrupted,
			outcome: mgproblem.Unknown,
			asked:   []string{postRequest},
		},
		{
			name:    "the key is wrong",
			steps:   []step{refuseWith(mgproblem.Unauthenticated)},
			kind:    mgproblem.Unauthenticated,
			outcome: mgproblem.NotRun,
		},
		{
			name:    "its resume is refused, which leaves its outcome unknown",
			steps:   []step{sendAndCut("a", 1), refuseWith(mgproblem.Unauthenticated)},
			text:    "1,",
			kind:    mgproblem.Unauthenticated,
			outcome: mgproblem.Unknown,
		},
		{
			name:    "each attempt to resume fails",
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
					So(answer.EndReason(), ShouldEqual, "stop")
					return
				}
				So(mgproblem.From(err).Kind(), ShouldEqual, c.kind)
				So(mgproblem.From(err).Outcome(), ShouldEqual, c.outcome)
				So(answer.EndReason(), ShouldBeEmpty)
			})
		}
	})
}

// replyBooked replies as the service.
func replyBooked(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "booked") }

// Guards against a write that runs twice, or never, when its reply is lost. With
// an operation id, every attempt must carry the same id; without one there must
// be no second attempt, and the call fails as Unconfirmed.
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
			name:      "a write with an operation id is repeated with the same id",
			method:    http.MethodPost,
			operation: "op",
			steps:     []step{abort, abort, replyBooked},
			asked:     []string{write + "op", write + "op", write + "op"},
		},
		{
			name:    "a write without an operation id is sent once",
			method:  http.MethodPost,
			steps:   []step{abort, replyBooked},
			kind:    mgproblem.Unconfirmed,
			outcome: mgproblem.Unknown,
			asked:   []string{write},
		},
		{
			name:   "a read is repeated",
			method: http.MethodGet,
			steps:  []step{abort, replyBooked},
			asked:  []string{read, read},
		},
		{
			name:   "a write that didn't run is repeated after the requested delay",
			method: http.MethodPost,
			steps:  []step{refuseWith(mgproblem.Overloaded), replyBooked},
			asked:  []string{write, write},
		},
		{
			name:      "the outcome not run covers the last attempt only",
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

// Guards against an unknown outcome when no entry is reachable, as in the first
// seconds of a replacement: nothing was sent, so the outcome must be "not run".
func TestUnreachableEntriesNotReportedNotRun(t *testing.T) {
	Convey("Without a reachable entry the outcome is not run", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		client := mgclient.New(mgclient.Spec{
			Bases:    []string{"http://" + l.Addr().String()},
			MaxTries: 2,
			Jitter:   func() float64 { return 0 },
		})
		_, err = client.Complete(context.Background(), mgclient.Request{}, nil)
		So(mgproblem.From(err).Outcome(), ShouldEqual, mgproblem.NotRun)
		_, err = client.NewOperationID(context.Background(), "tickets")
		So(mgproblem.From(err).Outcome(), ShouldEqual, mgproblem.NotRun)
		_, err = (&mgclient.Client{}).NewOperationID(context.Background(), "tickets")
		So(mgproblem.From(err).Kind(), ShouldEqual, mgproblem.Invalid)
	})
}
