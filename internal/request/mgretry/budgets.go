package mgretry

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Budgets holds the services' budgets. The zero Budgets is empty. A read takes
// no lock: the map is copied when a service is new, and the table (mgtable)
// bounds the number of services.
type Budgets struct {
	mu        sync.Mutex
	byService atomic.Pointer[map[string]*Budget]

	limit int // of each budget, 0 for DefaultLimit
}

// SetLimit sets the maximum of retries in each budget; see Budget.SetLimit.
func (s *Budgets) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	if all := s.byService.Load(); all != nil {
		for _, b := range *all {
			b.SetLimit(limit)
		}
	}
}

// Of returns the budget of a service, which is full when new.
func (s *Budgets) Of(service string) *Budget {
	if all := s.byService.Load(); all != nil {
		if b := (*all)[service]; b != nil {
			return b
		}
	}
	return s.add(service)
}

func (s *Budgets) add(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]*Budget{}
	if all := s.byService.Load(); all != nil {
		if b := (*all)[service]; b != nil {
			return b
		}
		next = maps.Clone(*all)
	}
	b := new(Budget)
	b.SetLimit(s.limit)
	next[service] = b
	s.byService.Store(&next)
	return b
}
