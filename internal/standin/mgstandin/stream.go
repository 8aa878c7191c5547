package mgstandin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
)

// maxStartBytes bounds the body of a start request.
const maxStartBytes = 4 << 20

// Handler serves the engine's interface and switches.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/standin/fault", faultHandler(e.Set))
	r.Get("/standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Counts())
	})
	r.Group(func(r chi.Router) {
		r.Use(e.faultMiddleware)
		r.Post("/v1/generations", e.serveStart)
		r.Get("/v1/generations", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, e.List())
		})
		r.Get("/v1/generations/{id}/stream", e.serveStream)
		r.Delete("/v1/generations/{id}", e.serveCancel)
		r.Get("/v1/load", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, e.Load())
		})
		r.Get("/v1/events", func(w http.ResponseWriter, r *http.Request) {
			after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
			writeJSON(w, http.StatusOK, e.Events(after))
		})
		r.Post("/v1/generations/{id}/move", e.serveMove)
		r.Post("/v1/copies", e.serveCopy)
		r.Post("/v1/orders", e.serveOrder)
	})
	return r
}

// faultMiddleware simulates the faults that affect whole connections.
func (e *Engine) faultMiddleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		applyConnectionFault(r.Context(), e.currentFault)
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) serveStart(w http.ResponseWriter, r *http.Request) {
	var spec mgengine.StartSpec
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxStartBytes)).Decode(&spec)
	if err != nil || spec.ID == "" {
		writeRefusal(w, http.StatusBadRequest, "invalid", "not the JSON of a generation with an id")
		return
	}
	if refused := e.Start(spec); refused != nil {
		writeJSON(w, http.StatusConflict, refused)
		return
	}
	w.WriteHeader(http.StatusCreated)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.Cancel(chi.URLParam(r, "id")) {
		writeRefusal(w, http.StatusNotFound, "missing", "no such generation")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var spec mgengine.OrderSpec
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSwitchBytes)).Decode(&spec); err != nil {
		writeRefusal(w, http.StatusBadRequest, "invalid", "not the JSON of an order")
		return
	}
	if refused := e.Order(spec); refused != nil {
		writeJSON(w, http.StatusConflict, refused)
		return
	}
	if spec.Kind == mgengine.LoadModel {
		e.clock.Sleep(r.Context(), e.spec.Loading)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from == 0 {
		writeRefusal(w, http.StatusBadRequest, "invalid", "give from, which counts from 1")
		return
	}
	if _, ok := e.streamStateOf(id); !ok {
		writeRefusal(w, http.StatusNotFound, "missing", "no such generation")
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	e.stream(w, r, id, from)
}

// streamState is a snapshot of what a stream depends on: its generation and the fault.
type streamState struct {
	produced      uint64
	preempted     int
	end           string
	progress      <-chan struct{}
	fault         Fault
	faultApplied  bool
	switchChanged <-chan struct{}
}

// streamStateOf returns the stream state of a generation, and whether the engine holds
// it.
func (e *Engine) streamStateOf(id string) (streamState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	if g == nil {
		return streamState{}, false
	}
	return streamState{
		produced:      g.produced,
		preempted:     g.preempted,
		end:           g.end,
		progress:      g.changed,
		fault:         e.fault,
		faultApplied:  g.faultApplied,
		switchChanged: e.changeChannel(),
	}, true
}

// stream writes the tokens from seq on until the generation ends. If the generation is
// lost it breaks the connection, because an end token would make the output look
// complete.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, seq uint64) {
	out := json.NewEncoder(w)
	control := http.NewResponseController(w)
	heartbeat := e.clock.After(e.spec.Beat)
	for {
		applyConnectionFault(r.Context(), e.currentFault)
		v, ok := e.streamStateOf(id)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		lastSeq, faultDue := v.streamLimit(v.produced)
		seq = writeTokens(out, WrittenBy(id, e.spec.Software), seq, lastSeq, v.preempted)
		ended := v.end != "" && seq > v.produced
		if ended {
			_ = out.Encode(mgengine.Token{
				End:       v.end,
				Preempted: v.preempted,
			})
		}
		if control.Flush() != nil || ended {
			return
		}
		if faultDue {
			e.applyStreamFault(r, id, v.fault.Kind)
		}
		select {
		case <-v.progress:
		case <-v.switchChanged:
		case <-heartbeat:
			_ = out.Encode(mgengine.Token{})
			heartbeat = e.clock.After(e.spec.Beat)
		case <-r.Context().Done():
			return
		}
	}
}

// writeTokens writes the tokens from seq to last of the text with a name, and returns the next
// sequence number.
func writeTokens(out *json.Encoder, name string, seq, last uint64, preempted int) uint64 {
	for ; seq <= last; seq++ {
		_ = out.Encode(mgengine.Token{
			Seq:       seq,
			Text:      Text(name, seq),
			Preempted: preempted,
		})
	}
	return seq
}

// streamLimit returns the last token that the stream may write, and whether a cut or
// stall applies after it.
func (v streamState) streamLimit(produced uint64) (uint64, bool) {
	if v.faultApplied || v.fault.Kind != Cut && v.fault.Kind != Stall || produced <= v.fault.After {
		return produced, false
	}
	return v.fault.After, true
}

// applyStreamFault breaks or stalls the stream, once per generation. Streams opened
// later work, as when a middlebox has dropped its state of one connection.
func (e *Engine) applyStreamFault(r *http.Request, id, kind string) {
	e.mu.Lock()
	g := e.generations[id]
	first := g != nil && !g.faultApplied
	if first {
		g.faultApplied = true
	}
	e.mu.Unlock()
	if !first {
		return
	}
	if kind == Stall {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}
