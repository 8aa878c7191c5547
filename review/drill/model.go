package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// eventInterval is the time between two events of a stream.
const eventInterval = 20 * time.Millisecond

// modelEngine is a stand-in of a model engine. It streams, copies runs to other engines and goes on from
// copies.
type modelEngine struct {
	id       string
	address  string
	record   *record
	events   int  // of each stream
	unframed bool // its answers have neither a length nor chunks
	draining atomic.Bool
	gone     atomic.Bool
	peers    map[string]*modelEngine // by address

	mu     sync.Mutex
	runs   map[string]*modelRun
	copies map[string]modelCopy // by SOURCE/HANDLE
}

// modelRun is a run of a request.
type modelRun struct {
	made    int
	stopped bool
	stop    chan struct{}
	handle  string
}

// modelCopy is a copy of a run's memory.
type modelCopy struct {
	request string
	made    int
}

// startModelEngine starts an engine on the deployment's address with the last byte given.
func (d *deployment) startModelEngine(id, service string, last, events int, unframed bool) (*modelEngine, error) {
	e := &modelEngine{
		id:       id,
		address:  fmt.Sprintf("%s.%d:8080", d.subnet, last),
		record:   d.record,
		events:   events,
		unframed: unframed,
		peers:    map[string]*modelEngine{},
		runs:     map[string]*modelRun{},
		copies:   map[string]modelCopy{},
	}
	if err := serve(e.address, e); err != nil {
		return nil, err
	}
	d.register(id, service, e.address, 24, func() string {
		switch {
		case e.gone.Load():
			return ""
		case e.draining.Load():
			return "draining"
		default:
			return "ready"
		}
	})
	return e, nil
}

// ServeHTTP implements an engine's calls.
func (e *modelEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/report":
		state := "ready"
		if e.draining.Load() {
			state = "draining"
		}
		writeJSON(w, map[string]any{"phase": "hybrid", "state": state, "busy": false, "running": 1, "kvUsed": 1000, "kvTotal": 34000})
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
	case r.URL.Path == "/kv-move":
		e.move(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		w.WriteHeader(http.StatusOK)
	default:
		e.serveRun(w, r)
	}
}

// move copies a run to another engine. With last it stops the run first and closes its stream without its end.
func (e *modelEngine) move(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	to := e.peers[order.To]
	e.mu.Lock()
	run := e.runs[order.ID]
	if run == nil || run.stopped || to == nil {
		e.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if order.Last {
		run.stopped = true
		close(run.stop)
	}
	run.handle = "h" + order.ID
	made := run.made
	e.mu.Unlock()
	time.Sleep(60 * time.Millisecond) // the copy
	to.mu.Lock()
	to.copies[e.address+"/"+run.handle] = modelCopy{
		request: order.ID,
		made:    made,
	}
	to.mu.Unlock()
	e.record.line("%s: /kv-move of %s to %s, last %v: 200, %d events made", e.id, order.ID, to.id, order.Last, made)
	writeJSON(w, map[string]any{"handle": run.handle, "created": made})
}

// serveRun runs a request, from its beginning, from an event, or from a copy.
func (e *modelEngine) serveRun(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a body that ends early ends the connection
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	from := r.Header.Get("Kv-From")
	e.mu.Lock()
	held, isKnown := e.copies[from]
	if from != "" && (!isKnown || held.request != id) {
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	delete(e.copies, from)
	run := &modelRun{
		made: first,
		stop: make(chan struct{}),
	}
	e.runs[id] = run
	e.mu.Unlock()
	e.record.line("%s: runs %s after event %d, Kv-From %q", e.id, id, first, from)
	if e.unframed {
		e.streamUnframed(w, id, run)
		return
	}
	e.setHeader(w.Header(), id)
	control := http.NewResponseController(w)
	if !e.stream(w, func() { _ = control.Flush() }, run) {
		panic(http.ErrAbortHandler) // the chunks have no end
	}
}

func (e *modelEngine) setHeader(header http.Header, id string) {
	header.Set("Content-Type", "text/event-stream")
	header.Set("X-Request-Id", id)
	header.Set("X-Response-Signature", "signed."+id)
}

// streamUnframed streams an answer that ends with its connection.
func (e *modelEngine) streamUnframed(w http.ResponseWriter, id string, run *modelRun) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer closeConn(conn)
	header := http.Header{}
	e.setHeader(header, id)
	header.Set("Connection", "close")
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n") // errors are returned by Flush
	_ = header.Write(buffer)
	_, _ = buffer.WriteString("\r\n")
	if !e.stream(buffer, func() { flush(buffer) }, run) && os.Getenv("RESET") != "" {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset in place of an ordinary end
		}
	}
}

func flush(buffer *bufio.ReadWriter) { _ = buffer.Flush() } // the next write fails

// stream writes the events of a run and reports whether it has ended by itself.
func (e *modelEngine) stream(to io.Writer, flush func(), run *modelRun) bool {
	ticker := time.NewTicker(eventInterval)
	defer ticker.Stop()
	for {
		e.mu.Lock()
		if run.stopped {
			e.mu.Unlock()
			return false
		}
		run.made++
		made := run.made
		e.mu.Unlock()
		if _, err := fmt.Fprintf(to, "id: %d\ndata: part %d of %d\n\n", made, made, e.events); err != nil {
			return false
		}
		flush()
		if made == e.events {
			e.mu.Lock()
			run.stopped = true
			e.mu.Unlock()
			return true
		}
		select {
		case <-ticker.C:
		case <-run.stop:
			return false
		}
	}
}

// running returns the number of runs in progress.
func (e *modelEngine) running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, run := range e.runs {
		if !run.stopped {
			count++
		}
	}
	return count
}

// modelService returns a service of a configuration that runs model engines.
func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConns": 232, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 24, "kvTokens": 34161, "kvBytes": 163840, "linkMbps": 24000.0, "moves": true, "backups": true,
			"stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}
