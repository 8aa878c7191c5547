package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store, or an event about it.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	at      uint64
	items   map[string]item
	history []item
	changed chan struct{}
}

func newStore() *store {
	return &store{
		at:      100,
		items:   map[string]item{},
		changed: make(chan struct{}),
	}
}

// put writes a value and returns its revision, which is the acknowledgement.
func (s *store) put(key string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	created := s.at
	if before, ok := s.items[key]; ok {
		created = before.Created
	}
	written := item{
		Key:      key,
		Value:    base64.StdEncoding.EncodeToString(text),
		Revision: s.at,
		Created:  created,
	}
	s.items[key] = written
	s.append(written)
	return s.at
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	delete(s.items, key)
	s.append(item{
		Key:      key,
		Revision: s.at,
		Deleted:  true,
	})
}

// append adds an event and wakes the watches. The caller holds mu.
func (s *store) append(event item) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements the reading calls of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, query.Get("key"))
	case "/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	found, ok := s.items[key]
	at := s.at
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

// pageItems is the number of items of a page.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var found []item
	for key, one := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, one)
		}
	}
	at := s.at
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	writeJSON(w, map[string]any{
		"items":   found,
		"hasMore": more,
		"at":      at,
	})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		at, changed := s.at, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{
				"events": events,
				"at":     at,
			})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			writeJSON(w, map[string]any{
				"events": events,
				"at":     at,
			})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // a caller that has left needs no answer
}

// serve serves a handler on an address until the process ends.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(listener) }()
	return nil
}
