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

// generate answers a completion request.
func (e *Entry) generate(w http.ResponseWriter, r *http.Request, c caller, chat bool) {
	j, problem := e.parse(r, c, chat)
	if problem != nil {
		mgproblem.Write(w, problem)
		return
	}
	e.spec.Metrics.Counter("requests").Inc(1)
	made, problem := e.begin(r.Context(), j, nil)
	if problem != nil {
		e.turnedAway(w, problem)
		return
	}
	reading := &reading{
		entry:    e,
		job:      j,
		receiver: mgdelivery.New(mgdelivery.Spec{Whole: !j.stream}),
		attempt:  made,
		avoid:    map[string]bool{},
	}
	reading.open()
	form := e.form(j)
	if j.stream {
		e.stream(w, r, reading, form)
		return
	}
	e.whole(w, r, reading, form)
}

func (e *Entry) turnedAway(w http.ResponseWriter, problem *mgproblem.Problem) {
	e.spec.Metrics.Counter("turnedaway").Inc(1)
	mgproblem.Write(w, problem)
}

// name returns the answer's name for its account.
func (e *Entry) name(account string, made attempt) string {
	return e.signer.Sign(account, mganswer.NewName(made.agent.Upstream, made.offer.GetIncarnation(), made.generation))
}
