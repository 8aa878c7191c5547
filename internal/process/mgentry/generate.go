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
	if problem := e.admit(j); problem != nil {
		e.turnedAway(w, problem)
		return
	}
	giveBack, problem := e.take(r.Context(), c.account.Name())
	if problem != nil {
		e.turnedAway(w, problem)
		return
	}
	made, problem := e.begin(r.Context(), j, nil)
	if problem != nil {
		giveBack(0)
		e.turnedAway(w, problem)
		return
	}
	reading := &reading{
		entry:    e,
		job:      j,
		receiver: mgdelivery.New(mgdelivery.Spec{Whole: !j.stream}),
		attempt:  made,
		giveBack: giveBack,
		doubt:    made.doubt,
		avoid:    map[string]bool{},
	}
	reading.open(r.Context())
	e.announce(w, c.account.Name(), made)
	form := e.form(j)
	if j.stream {
		e.stream(w, r, reading, form)
		return
	}
	e.whole(w, r, reading, form)
}

// nameHeader carries an answer's name ahead of its first token.
const nameHeader = "Answer"

// announce tells the caller the answer's name before there is a token, in an
// informational response (RFC 8297), and again when the answer starts over
// elsewhere. A caller whose entry dies while the request waits resumes by it;
// one that doesn't know it reads over it.
func (e *Entry) announce(w http.ResponseWriter, account string, made attempt) {
	w.Header().Set(nameHeader, e.name(account, made))
	w.WriteHeader(http.StatusEarlyHints)
}

func (e *Entry) turnedAway(w http.ResponseWriter, problem *mgproblem.Problem) {
	e.spec.Metrics.Counter("turnedaway").Inc(1)
	mgproblem.Write(w, problem)
}

// name returns the answer's name for its account.
func (e *Entry) name(account string, made attempt) string {
	return e.signer.Sign(account, mganswer.NewName(made.agent.Upstream(), made.offer.GetIncarnation(), made.generation))
}
