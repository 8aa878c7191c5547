package mgstandin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Events is an upstream of routes that streams numbered events. Each event names the software
// version that wrote it, so that a check can tell whether a stream holds events of several.
// Like an engine it doesn't check which version wrote the events that it continues, and its answers
// may have no framing or break off. The zero Events is ready for use.
type Events struct {
	spec  EventsSpec
	clock mgclock.Clock

	mu     sync.Mutex
	counts EventsCounts
}

// EventsCounts holds the counters of an Events.
type EventsCounts struct {
	Begun   int `json:"begun"`
	Resumed int `json:"resumed"`
}

// NewEvents returns an upstream with zero counters.
func NewEvents(spec EventsSpec, clock mgclock.Clock) *Events {
	return &Events{
		spec:  spec,
		clock: clock,
	}
}

// Handler serves streams, whose length is the last element of the path, and the counters.
func (e *Events) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, http.StatusOK, e.counts)
	})
	r.HandleFunc("/*", e.stream)
	return r
}

// Event is the text of event n that a version writes for a caller.
func Event(n int, caller, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, caller, version)
}

// stream writes the events after the one that the request names. The caller's name is the last
// element but one of the path.
func (e *Events) stream(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upstream") != e.spec.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	elements := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	total, err := strconv.Atoi(elements[len(elements)-1])
	if err != nil || len(elements) < 2 {
		http.Error(w, "the path has no length: end it with a caller and a number", http.StatusBadRequest)
		return
	}
	caller := elements[len(elements)-2]
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.count(last > 0)
	header := w.Header()
	header.Set("Request-Id", r.Header.Get("Request-Id"))
	header.Set("Signature", e.spec.Name)
	header.Set("Software", e.spec.Software)
	header.Set("Content-Type", "text/event-stream")
	e.write(r.Context(), w, caller, last, total, e.drawPlan(r.Header.Get("Request-Id"), last, total))
}

// answerPlan is how one answer ends, drawn from the id of its request.
type answerPlan struct {
	closes  bool // it has neither length nor chunks
	breakAt int  // the event inside which it breaks off, 0 for none
}

// drawPlan draws how an answer with the events after last ends.
func (e *Events) drawPlan(id string, last, total int) answerPlan {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(id), xxhash.Sum64String(e.spec.Name)))
	plan := answerPlan{
		closes: rng.Float64() < e.spec.Closes,
	}
	if last < total && rng.Float64() < e.spec.Breaks {
		plan.breakAt = last + 1 + rng.IntN(total-last)
	}
	return plan
}

func (e *Events) write(ctx context.Context, w http.ResponseWriter, caller string, last, total int, plan answerPlan) {
	control := http.NewResponseController(w)
	if plan.closes {
		w.Header().Set("Transfer-Encoding", "identity") // see http.ResponseWriter: no chunks
	}
	for n := last + 1; n <= total; n++ {
		event := Event(n, caller, e.spec.Software)
		if n == plan.breakAt {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = control.Flush()
			if plan.closes {
				return // the connection ends as after a whole answer
			}
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		_ = control.Flush()
		if !e.clock.Sleep(ctx, e.spec.Interval) {
			return
		}
	}
}

func (e *Events) count(resumed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if resumed {
		e.counts.Resumed++
		return
	}
	e.counts.Begun++
}
