package mgentry

import (
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mganswer"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgdelivery"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

func (e *Entry) chat(w http.ResponseWriter, r *http.Request, c caller) { e.generate(w, r, c, true) }

func (e *Entry) complete(w http.ResponseWriter, r *http.Request, c caller) {
	e.generate(w, r, c, false)
}

// generate handles a completion request.
func (e *Entry) generate(w http.ResponseWriter, r *http.Request, c caller, chat bool) {
	j, problem := e.parse(w, r, c, chat)
	if problem != nil {
		mgproblem.Write(w, problem)
		return
	}
	e.spec.Metrics.Counter("requests").Inc(1)
	if problem := e.checkQuarantine(j); problem != nil {
		e.reject(w, problem)
		return
	}
	refund, problem := e.acquireStream(r.Context(), c.account.Name())
	if problem != nil {
		e.reject(w, problem)
		return
	}
	attempt, problem := e.startGeneration(r.Context(), j, nil)
	if problem != nil {
		refund(0)
		e.reject(w, problem)
		return
	}
	reader := &answerReader{
		entry:       e,
		job:         j,
		receiver:    mgdelivery.New(mgdelivery.Spec{Whole: !j.stream}),
		attempt:     attempt,
		refund:      refund,
		mayHaveRun:  attempt.priorMayHaveRun,
		avoidAgents: map[string]bool{},
	}
	reader.open(r.Context())
	e.announceName(w, c.account.Name(), attempt)
	format := e.newFormat(j)
	if j.stream {
		e.streamAnswer(w, r, reader, format)
		return
	}
	e.writeWhole(w, r, reader, format)
}

// answerHeader carries an answer's name before its first token.
const answerHeader = "Answer"

// announceName sends the answer's name before there is a token, in an
// informational response (RFC 8297), and again when the answer restarts at
// another agent. A caller whose entry dies while the request waits can resume by
// this name; a caller that doesn't know the header ignores it.
func (e *Entry) announceName(w http.ResponseWriter, account string, attempt attempt) {
	w.Header().Set(answerHeader, e.signAnswerName(account, attempt))
	w.WriteHeader(http.StatusEarlyHints)
}

func (e *Entry) reject(w http.ResponseWriter, problem *mgproblem.Problem) {
	e.spec.Metrics.Counter("turnedaway").Inc(1)
	mgproblem.Write(w, problem)
}

// signAnswerName returns the answer's name, signed for its account.
func (e *Entry) signAnswerName(account string, attempt attempt) string {
	return e.signer.Sign(account, mganswer.NewName(attempt.agent.Upstream(), attempt.offer.GetIncarnation(), attempt.generation))
}
