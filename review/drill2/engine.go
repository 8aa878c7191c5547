package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which an engine writes its entry.
const heartbeat = 1200 * time.Millisecond

// engineSpec describes an engine.
type engineSpec struct {
	id       string
	service  string
	zone     string
	slots    int
	kvTokens int           // 0 for a plain service
	stride   int           // tokens in an event
	step     time.Duration // per token
	work     time.Duration // of a plain request
}

// engine is a stand-in for an engine. It runs slots requests at a time and queues the others.
type engine struct {
	spec   engineSpec
	log    *record
	store  *store
	addr   string
	server *http.Server
	places chan struct{}
	stop   context.CancelFunc

	mu      sync.Mutex
	state   string
	seq     int
	running int
	queued  int
	used    int
	arrived map[string]time.Time // by request id
	began   map[string]int       // number of runs, by request id
}

func startEngine(spec engineSpec, ip string, s *store, log *record) (*engine, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", spec.id, err)
	}
	e := &engine{
		spec:    spec,
		log:     log,
		store:   s,
		addr:    listener.Addr().String(),
		places:  make(chan struct{}, spec.slots),
		state:   "ready",
		arrived: map[string]time.Time{},
		began:   map[string]int{},
	}
	e.server = &http.Server{
		Handler: http.HandlerFunc(e.serve),
	}
	go func() { _ = e.server.Serve(listener) }() // ends with close
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go e.beat(ctx)
	return e, nil
}

// beat writes the engine's entry until ctx ends.
func (e *engine) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		e.write()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *engine) write() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	e.store.put("servers/"+e.spec.id, map[string]any{
		"service":    e.spec.service,
		"address":    e.addr,
		"zone":       e.spec.zone,
		"version":    "v1",
		"slots":      e.spec.slots,
		"state":      e.state,
		"coldLeftMs": 0,
		"seq":        e.seq,
	})
}

func (e *engine) close() {
	e.stop()
	_ = e.server.Close() // the process ends next
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		e.serveReport(w)
		return
	}
	id := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	e.arrived[id] = time.Now()
	e.mu.Unlock()
	w.Header().Set("X-Instance-Id", e.spec.id)
	w.Header().Set("X-Request-Id", id)
	switch target := r.Header.Get("X-Target-Instance"); {
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case target != "" && target != e.spec.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		deadline = 60_000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(deadline)*time.Millisecond)
	defer cancel()
	e.count(1, 0, 0)
	select {
	case e.places <- struct{}{}:
		e.count(-1, 1, 0)
	case <-ctx.Done():
		e.count(-1, 0, 0)
		e.log.printf("engine %s: %s left its queue and did not run", e.spec.id, id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		<-e.places
		e.count(0, -1, 0)
	}()
	e.mu.Lock()
	e.began[id]++
	e.mu.Unlock()
	e.log.printf("engine %s: runs %s", e.spec.id, id)
	w.Header().Set("X-Response-Signature", "sig."+e.spec.id+"."+id)
	if e.spec.kvTokens == 0 {
		e.runPlain(ctx, w, id)
		return
	}
	e.runStream(ctx, w, r, id)
}

func (e *engine) runPlain(ctx context.Context, w http.ResponseWriter, id string) {
	if !sleep(ctx, e.spec.work) {
		return
	}
	fmt.Fprintf(w, "answer of %s to %s\n", e.spec.id, id)
}

func (e *engine) runStream(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	prompt, output := tokensOf(r)
	e.count(0, 0, prompt+output)
	defer e.count(0, 0, -prompt-output)
	if !sleep(ctx, time.Duration(prompt)*time.Millisecond/14) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= output/e.spec.stride; n++ {
		if !sleep(ctx, time.Duration(e.spec.stride)*e.spec.step) {
			e.log.printf("engine %s: %s was broken off after event %d", e.spec.id, id, n-1)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush() // the end of ctx shows a client that has left
	}
	e.log.printf("engine %s: has answered %s", e.spec.id, id)
}

// tokensOf returns the tokens of a request's prompt and of its output.
func tokensOf(r *http.Request) (prompt, output int) {
	before, after, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	prompt, _ = strconv.Atoi(before)
	output, _ = strconv.Atoi(after)
	return prompt, output
}

func (e *engine) count(queued, running, used int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued += queued
	e.running += running
	e.used += used
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{
		"phase":   "hybrid",
		"models":  []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"busy":    false,
		"seq":     0,
		"queued":  e.queued,
		"running": e.running,
		"kvUsed":  e.used,
		"kvTotal": e.spec.kvTokens,
		"handles": 0,
		"state":   e.state,
	})
}

// hasArrived reports whether the engine was sent a request.
func (e *engine) hasArrived(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.arrived[id]
	return ok
}

// hasArrived reports whether an engine was sent a request.
func (d *deployment) hasArrived(id string) bool {
	return slices.ContainsFunc(d.engines, func(e *engine) bool { return e.hasArrived(id) })
}

// sleep waits for a time, and reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
