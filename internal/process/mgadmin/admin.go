// Package mgadmin is a process's HTTP handler for operators: health, readiness,
// a dump of its state, and its metrics. It exposes no secret: the sections of
// the dump contain counts, names and versions only.
package mgadmin

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-chi/chi/v5"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
)

// An Admin serves the operators' requests. The zero value serves an empty dump
// and is not ready.
type Admin struct {
	mu      sync.Mutex
	sources map[string]func() any
	ready   atomic.Pointer[func() (bool, string)]
}

// AddSection adds a named section to the dump. The function is called for each dump
// and returns a value that encoding/json can encode.
func (a *Admin) AddSection(name string, read func() any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sources == nil {
		a.sources = map[string]func() any{}
	}
	a.sources[name] = read
}

// SetReadiness sets the function that reports whether the process accepts new work, and
// the reason if it doesn't.
func (a *Admin) SetReadiness(check func() (bool, string)) { a.ready.Store(&check) }

// Handler returns the HTTP handler.
func (a *Admin) Handler(set *mgmetric.Set) http.Handler {
	router := chi.NewRouter()
	router.Get("/health", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "alive") })
	router.Get("/ready", a.serveReady)
	router.Get("/dump", a.serveDump)
	router.Handle("/metrics", set)
	return router
}

func (a *Admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	check := a.ready.Load()
	if check == nil {
		writeText(w, http.StatusServiceUnavailable, "starting")
		return
	}
	ok, why := (*check)()
	if !ok {
		writeText(w, http.StatusServiceUnavailable, why)
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (a *Admin) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(a.Dump())
}

// Dump returns the state of the process by section.
func (a *Admin) Dump() map[string]any {
	a.mu.Lock()
	sources := make(map[string]func() any, len(a.sources))
	for name, read := range a.sources {
		sources[name] = read
	}
	a.mu.Unlock()
	state := make(map[string]any, len(sources))
	for name, read := range sources {
		state[name] = read()
	}
	return state
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
