package mgbudget

import (
	"fmt"
	"sync"
)

const (
	// requestShare is the part of a budget up to which amounts beyond those of connections are granted.
	requestShare = 0.75
	// overdraftShare is the part of a budget that may be granted beyond it to new connections, for
	// connections that have been ended and not yet closed.
	overdraftShare = 0.125
)

// A Budget is a number of bytes that may be held. The zero Budget grants everything. It is safe for
// concurrent use.
type Budget struct {
	limit int64 // bytes, 0 for none

	mu       sync.Mutex
	held     int64
	most     int64
	refused  int64         // amounts
	released chan struct{} // closed at the next release; nil while nobody waits
}

// New returns a budget of some bytes, 0 for one without a limit.
func New(limit int64) *Budget {
	return &Budget{
		limit: limit,
	}
}

// ExceededError means that an amount was refused.
type ExceededError struct {
	wanted int64
	limit  int64
}

// Error returns the amount, the budget and the remedy.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("mgbudget: %d more bytes exceed the %d bytes that may be held for callers: send the request again later, or give the process more memory",
		e.wanted, e.limit)
}

// acquireRequest grants bytes of a request.
func (b *Budget) acquireRequest(bytes int64) bool { return b.acquire(bytes, requestShare) }

// AcquireConn grants the bytes of a new connection. If some connections have been ended for it, the budget
// may be exceeded by overdraftShare.
func (b *Budget) AcquireConn(bytes int64, ended bool) bool {
	if ended {
		return b.acquire(bytes, 1+overdraftShare)
	}
	return b.acquire(bytes, 1)
}

// acquire grants bytes if at most a share of the limit is held then.
func (b *Budget) acquire(bytes int64, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && float64(b.held)+float64(bytes) > share*float64(b.limit) {
		return false
	}
	b.held += bytes
	b.most = max(b.most, b.held)
	return true
}

// Release gives bytes back.
func (b *Budget) Release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= bytes
	if b.released != nil && bytes > 0 {
		close(b.released)
		b.released = nil
	}
}

// nextRelease returns a channel that is closed at the next release.
func (b *Budget) nextRelease() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// refuse counts a refusal, and returns its error.
func (b *Budget) refuse(bytes int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
	return &ExceededError{
		wanted: bytes,
		limit:  b.limit,
	}
}

// State is the state of a budget.
type State struct {
	Limit   int64 `json:"limit"`   // bytes, 0 for none
	Held    int64 `json:"held"`    // bytes
	Most    int64 `json:"most"`    // bytes that were held at a time
	Refused int64 `json:"refused"` // amounts of requests
}

// State returns the budget's state.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{
		Limit:   b.limit,
		Held:    b.held,
		Most:    b.most,
		Refused: b.refused,
	}
}
