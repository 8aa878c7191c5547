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

// lastEventHeader is the header by which a caller says what it has (WHATWG 2024).
const lastEventHeader = "Last-Event-ID"

// resume goes on with an answer from the token after the caller's last, or
// gives it whole to a caller that wants JSON.
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
		refund:  func(int) {}, // its start was charged
	}
	reader.open(r.Context())
	format := &answerFormat{
		entry:         e,
		account:       c.account.Name(),
		chat:          r.URL.Query().Get("form") != "text",
		created:       mgclock.Unix(),
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

// parseLastToken returns the last token that the caller has, 0 for none. The id
// must be one of the answer that is asked for.
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

// locateAnswer opens an answer's name and finds the agent that serves its upstream
// now.
func (e *Entry) locateAnswer(r *http.Request, c caller) (attempt, *mgproblem.Problem) {
	name, err := e.signer.Open(c.account.Name(), chi.URLParam(r, "answer"))
	if err != nil {
		return attempt{}, mgproblem.From(err)
	}
	agent, ok := e.agentByUpstream(name.Agent())
	if !ok {
		return attempt{}, mgproblem.New(mgproblem.Crowded, mgproblem.Unknown,
			"the answer's upstream can't be reached now", "come back after the time in Retry-After").WithRetry(mgclock.Second)
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

// cancel ends an answer and tells what became of it.
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
