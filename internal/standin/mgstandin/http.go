package mgstandin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
)

// maxSwitchBytes bounds the body of a request to a switch.
const maxSwitchBytes = 64 << 10

// Server serves a stand-in on loopback.
type Server struct {
	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc
	done     chan struct{}
}

// Listen starts serving h on a loopback address. Port 0 selects a free port.
func Listen(addr string, h http.Handler) (*Server, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("standin: address %q: give an address and a port: %w", addr, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("standin: address %q: a stand-in has no access control; give a loopback address", addr)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("standin: can't listen; choose another port: %w", err)
	}
	// A handler that simulates a dead process before it has read the body isn't
	// notified when its connection closes. Cancelling the base context ends it.
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		listener: l,
		server: &http.Server{
			Handler:     h,
			BaseContext: func(net.Listener) context.Context { return ctx },
		},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(l)
	}()
	return s, nil
}

// Addr returns the address and port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the base URL.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close closes all connections and stops serving.
func (s *Server) Close() error {
	s.cancel()
	err := s.server.Close()
	<-s.done
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// faultHandler returns a handler that decodes a Fault and passes it to set.
func faultHandler(set func(Fault)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSwitchBytes)).Decode(&f); err != nil {
			writeRefusal(w, http.StatusBadRequest, "invalid", "not the JSON of a fault")
			return
		}
		set(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeRefusal(w http.ResponseWriter, status int, kind, detail string) {
	writeJSON(w, status, mgengine.Refusal{
		Kind:   kind,
		Detail: detail,
	})
}
