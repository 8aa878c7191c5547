package mgclient_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclient"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// A step handles one request to the fake entries.
type step func(w http.ResponseWriter, r *http.Request)

// fakeEntries are two servers that handle successive requests by the steps of
// one script.
type fakeEntries struct {
	mu    sync.Mutex
	steps []step
	asked []string // method, path, Last-Event-ID and Idempotency-Key of each request
	bases []string
}

func newFakeEntries(steps ...step) *fakeEntries {
	e := &fakeEntries{
		steps: steps,
	}
	for range 2 {
		s := httptest.NewServer(http.HandlerFunc(e.serve))
		Reset(s.Close)
		e.bases = append(e.bases, s.URL)
	}
	return e
}

func (e *fakeEntries) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	n := len(e.asked)
	e.asked = append(e.asked, r.Method+" "+r.URL.Path+" "+r.Header.Get("Last-Event-ID")+r.Header.Get("Idempotency-Key"))
	e.mu.Unlock()
	if n >= len(e.steps) {
		http.Error(w, "the script is over", http.StatusTeapot)
		return
	}
	e.steps[n](w, r)
}

// requests returns the requests received so far.
func (e *fakeEntries) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.asked)
}

// client returns a client of the two entries.
func (e *fakeEntries) client(silence mgclock.Millis) *mgclient.Client {
	return mgclient.New(mgclient.Spec{
		Bases:          e.bases,
		Key:            "key",
		SilenceTimeout: silence,
		MaxTries:       4,
		Jitter:         func() float64 { return 0 },
	})
}

// tokens sends tokens of an answer and leaves the connection open.
func tokens(w io.Writer, answer string, seqs ...int) {
	for _, seq := range seqs {
		_, _ = fmt.Fprintf(w, "id: %s.%d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%d,\"},\"finish_reason\":null}]}\n\n", answer, seq, seq)
	}
}

// sendAndCut sends tokens and cuts the connection.
func sendAndCut(answer string, seqs ...int) step {
	return func(w http.ResponseWriter, _ *http.Request) {
		tokens(w, answer, seqs...)
	}
}

// sendAndFinish sends tokens and the answer's end.
func sendAndFinish(answer string, seqs ...int) step {
	return func(w http.ResponseWriter, _ *http.Request) {
		tokens(w, answer, seqs...)
		_, _ = fmt.Fprintf(w, ": hb\n\nid: %s.4\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", answer)
	}
}

// sendAndHang sends tokens and then nothing more.
func sendAndHang(answer string, seqs ...int) step {
	return func(w http.ResponseWriter, r *http.Request) {
		tokens(w, answer, seqs...)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

// withEarlyHints sends the answer's name ahead of the response.
func withEarlyHints(then step) step {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Answer", "a")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Answer")
		then(w, r)
	}
}

// withLaterName sends the name of the generation that replaces the first one.
func withLaterName(answer string, then step) step {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Answer", answer)
		w.WriteHeader(http.StatusEarlyHints)
		then(w, r)
	}
}

// abort breaks the connection without a reply.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// refuseWith replies with a problem that is attested not run.
func refuseWith(kind mgproblem.Kind) step {
	return func(w http.ResponseWriter, _ *http.Request) {
		mgproblem.Write(w, mgproblem.New(kind, mgproblem.NotRun, "a test", "none"))
	}
}

// failWith sends tokens and a problem in the stream.
func failWith(kind mgproblem.Kind, outcome mgproblem.Outcome, seqs ...int) step {
	return func(w http.ResponseWriter, _ *http.Request) {
		tokens(w, "a", seqs...)
		data, _ := json.Marshal(mgproblem.New(kind, outcome, "a test", "none"))
		_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
	}
}

const (
	postRequest   = "POST /v1/chat/completions "
	resumeRequest = "GET /v1/answers/a a."
)
