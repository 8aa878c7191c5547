package mgentry

import (
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mganswer"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgdelivery"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// lastEventHeader names the last event that the caller received (WHATWG 2024).
const lastEventHeader = "Last-Event-ID"

// resume continues an answer after the last token that the caller received. A
// caller that accepts JSON and has no token gets the whole answer.
func (e *Entry) resume(w http.ResponseWriter, r *http.Request, c caller) {
	attempt, problem := e.locateAnswer(r, c)
	if problem != nil {
		mgproblem.Write(w, problem)
		return
	}
	last, problem := parseLastToken(r)
	if problem != nil {
		mgproblem.Write(w, problem)
		return
	}
	whole := wantsJSON(r) && last == 0
	reader := &answerReader{
		entry: e,
		receiver: mgdelivery.New(mgdelivery.Spec{
			Whole:  whole,
			From:   last,
			Pinned: true,
		}),
		attempt: attempt,
		refund:  func(int) {}, // the initial request paid for the answer
	}
	reader.open(r.Context())
	format := &answerFormat{
		entry:         e,
		account:       c.account.Name(),
		chat:          r.URL.Query().Get("form") != "text",
		created:       mgclock.UnixSeconds(),
		answer:        "",
		lastDelivered: last,
	}
	e.spec.Metrics.Counter("resumed").Inc(1)
	if whole {
		e.writeWhole(w, r, reader, format)
		return
	}
	e.streamAnswer(w, r, reader, format)
}

func wantsJSON(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept"), "application/json")
}

// parseLastToken returns the number of the last token that the caller received,
// or 0 for none. The event ID must belong to the requested answer.
func parseLastToken(r *http.Request) (uint64, *mgproblem.Problem) {
	id := r.Header.Get(lastEventHeader)
	if id == "" {
		return 0, nil
	}
	answer, seq, err := mganswer.ParseEventID(id)
	if err != nil || answer != chi.URLParam(r, "answer") {
		return 0, invalid("Last-Event-ID is not one of this answer", "send the id of the last event, or leave it out to begin at the first token")
	}
	return seq, nil
}

// locateAnswer verifies an answer's name and finds the agent that currently
// serves its upstream.
func (e *Entry) locateAnswer(r *http.Request, c caller) (attempt, *mgproblem.Problem) {
	name, err := e.signer.Open(c.account.Name(), chi.URLParam(r, "answer"))
	if err != nil {
		return attempt{}, mgproblem.From(err)
	}
	agent, ok := e.agentByUpstream(name.Agent())
	if !ok {
		return attempt{}, mgproblem.New(mgproblem.Overloaded, mgproblem.Unknown,
			"the answer's upstream can't be reached now", "come back after the time in Retry-After").WithRetryAfter(mgclock.Second)
	}
	return attempt{
		id:         name.Generation(),
		agent:      agent,
		generation: name.Generation(),
		release:    func() {},
		offer: &mgrpc.Offer{
			Incarnation: name.Incarnation(),
		},
	}, nil
}

// cancel cancels an answer and returns its outcome.
func (e *Entry) cancel(w http.ResponseWriter, r *http.Request, c caller) {
	attempt, problem := e.locateAnswer(r, c)
	if problem != nil {
		mgproblem.Write(w, problem)
		return
	}
	outcome := e.cancelAttempt(r.Context(), attempt)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"outcome":"` + string(outcome) + `"}` + "\n"))
}
