// Package mgadmin is the operators' listener of a process: health, readiness,
// a dump of its state and its metrics. It shows no secret: a source of the
// dump gives counts, names and versions only.
package mgadmin

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-chi/chi/v5"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
)

// An Admin answers operators. Its zero value answers with an empty dump and
// is not ready.
type Admin struct {
	mu      sync.Mutex
	sources map[string]func() any
	ready   atomic.Pointer[func() (bool, string)]
}

// Source adds a named part of the dump. The function is called for each dump
// and returns what encoding/json can encode.
func (a *Admin) Source(name string, read func() any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sources == nil {
		a.sources = map[string]func() any{}
	}
	a.sources[name] = read
}

// Ready sets what tells whether the process takes new work, and if not, why.
func (a *Admin) Ready(check func() (bool, string)) { a.ready.Store(&check) }

// Routes returns the listener's handler.
func (a *Admin) Routes(set *mgmetric.Set) http.Handler {
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

// Dump returns the state of the process by source.
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
