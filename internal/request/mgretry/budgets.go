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

	limit    int // of each budget, if isShared
	isShared bool
}

// SetLimit sets the maximum of retries in each budget; see Budget.SetLimit.
func (s *Budgets) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.isShared = true
	for _, b := range s.all() {
		b.SetLimit(limit)
	}
}

// ExpireEarned empties the budgets that hold only what successes earn; see
// Budget.ExpireEarned. Call it once in the time over which services count retries.
func (s *Budgets) ExpireEarned() {
	for _, b := range s.all() {
		b.ExpireEarned()
	}
}

// all returns the budgets by service. The map isn't changed.
func (s *Budgets) all() map[string]*Budget {
	if all := s.byService.Load(); all != nil {
		return *all
	}
	return nil
}

// Of returns the budget of a service. A new one is full, or holds nothing where
// SetLimit has set 0.
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
	if s.isShared {
		b.SetLimit(s.limit)
	}
	next[service] = b
	s.byService.Store(&next)
	return b
}
