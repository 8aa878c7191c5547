package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of items in a page of a range.
const pageSize = 50

// maxWatch is the longest time for which a watch waits.
const maxWatch = 30 * time.Second

// item is a key of the store, or an event about it.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. It answers reads and watches, and loses nothing.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{
		revision: 400,
		items:    map[string]item{},
		changed:  make(chan struct{}),
	}
}

// encode returns a value as JSON.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are maps of plain types
	}
	return data
}

// put writes a value as JSON.
func (s *store) put(key string, value any) { s.putText(key, encode(value)) }

// putText writes a value.
func (s *store) putText(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	written := item{
		Key:      key,
		Value:    base64.StdEncoding.EncodeToString(data),
		Revision: s.revision,
		Created:  s.revision,
	}
	if before, ok := s.items[key]; ok {
		written.Created = before.Created
	}
	s.items[key] = written
	s.publish(written)
}

// publish adds an event. mu must be held.
func (s *store) publish(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	return mux
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		At uint64 `json:"at"`
	}{
		item: found,
		At:   at,
	})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	at := s.revision
	var found []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageSize
	writeJSON(w, map[string]any{
		"items":   found[:min(len(found), pageSize)],
		"hasMore": more,
		"at":      at,
	})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(waitMs)*time.Millisecond, maxWatch))
	defer cancel()
	for {
		events, at, changed := s.since(prefix, after)
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
			}
		}
		writeJSON(w, map[string]any{
			"events": events,
			"at":     at,
		})
		return
	}
}

// since returns the events under a prefix after a revision, and a channel that is closed at the next event.
func (s *store) since(prefix string, after uint64) (events []item, at uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []item{}
	for _, event := range s.events {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // a client that has left asks again
}
