package mgstandin

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// maxCallBytes bounds the body of a call.
const maxCallBytes = 1 << 20

// Service is a plain service. Like a legacy service it never detects a repeated
// operation: a repeated call is executed again, and the counters show it. The zero
// Service is ready for use.
type Service struct {
	spec  ServiceSpec
	clock mgclock.Clock

	mu             sync.Mutex
	fault          Fault
	remainingCalls int // calls to which a fault with Times still applies
	changed        chan struct{}
	counts         ServiceCounts
}

// NewService returns a service with zero counters.
func NewService(spec ServiceSpec, clock mgclock.Clock) *Service {
	return &Service{
		spec:  spec,
		clock: clock,
	}
}

// Digest returns the digest of a call's body. A reply carries it, so that a caller can
// verify that the reply belongs to its call.
func Digest(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// Handler serves the calls, of any method and path, and the switches.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/standin/fault", faultHandler(s.Set))
	r.Get("/standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
	r.HandleFunc("/*", s.call)
	return r
}

// Set sets the fault: Silent, Slow, Hang, Lost, Early, Refuse or Heal.
func (s *Service) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.remainingCalls = f.Times
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = nil
}

// Counts returns the counters.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Runs = maps.Clone(counts.Runs)
	return counts
}

// currentFault returns the current fault kind and a channel that is closed when it
// changes.
func (s *Service) currentFault() (string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.fault.Kind, s.changed
}

// nextFault returns the fault that applies to this call, and counts the call if the
// fault is limited to a number of calls.
func (s *Service) nextFault(ctx context.Context) Fault {
	applyConnectionFault(ctx, s.currentFault)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	if f.Times > 0 {
		if s.remainingCalls == 0 {
			return Fault{}
		}
		s.remainingCalls--
	}
	return f
}

// countRun counts an execution of the operation and returns how many there were.
func (s *Service) countRun(operation string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts.Runs == nil {
		s.counts.Runs = make(map[string]int)
	}
	s.counts.Total++
	s.counts.Runs[operation]++
	return s.counts.Runs[operation]
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	f := s.nextFault(r.Context())
	switch f.Kind {
	case Early:
		panic(http.ErrAbortHandler)
	case Refuse:
		writeRefusal(w, http.StatusServiceUnavailable, "refused", "not now; come back later")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, "invalid", "the body broke off or is over 1 MB")
		return
	}
	reply := ServiceReply{
		Service:   s.spec.Name,
		Method:    r.Method,
		Path:      r.URL.Path,
		Operation: r.Header.Get("Idempotency-Key"),
		Digest:    Digest(body),
	}
	operation := reply.Operation
	if operation == "" {
		operation = r.Method + " " + r.URL.Path
	}
	reply.Run = s.countRun(operation)
	s.writeReply(w, r, f, reply)
}

// writeReply writes the reply to an executed call, as far as the fault permits.
func (s *Service) writeReply(w http.ResponseWriter, r *http.Request, f Fault, reply ServiceReply) {
	delay := s.spec.Delay
	switch f.Kind {
	case Lost:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case Slow:
		delay += f.Delay
	}
	s.clock.Sleep(r.Context(), delay)
	writeJSON(w, http.StatusOK, reply)
}
