package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// plainEngine is a stand-in of an engine of a plain service.
type plainEngine struct {
	id      string
	service string
	record  *record
	work    time.Duration

	mu   sync.Mutex
	runs map[string]int // by request id
}

// startPlainEngine starts an engine on the deployment's address with the last byte given.
func (d *deployment) startPlainEngine(id, service string, last int) (*plainEngine, error) {
	e := &plainEngine{
		id:      id,
		service: service,
		record:  d.record,
		runs:    map[string]int{},
	}
	address := fmt.Sprintf("%s.%d:8080", d.subnet, last)
	if err := serve(address, e); err != nil {
		return nil, err
	}
	d.register(id, service, address, 6, func() string { return "ready" })
	return e, nil
}

// ServeHTTP runs a request.
func (e *plainEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	switch target := r.Header.Get("X-Target-Instance"); {
	case target != "" && target != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a body that ends early ends the connection
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	time.Sleep(e.work)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "signed."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s for %s", e.service, id, r.Header.Get("X-Tenant"))
}

// ran returns how often requests ran.
func (e *plainEngine) ran() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, n := range e.runs {
		count += n
	}
	return count
}
