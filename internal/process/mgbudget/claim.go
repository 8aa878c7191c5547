package mgbudget

import (
	"context"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// roomTimeout is the longest time for which a request waits for connections that are being ended.
const roomTimeout = 250 * mgclock.Millis(1)

// A Claim is what one connection holds of a budget. A nil Claim and the zero Claim are granted everything.
type Claim struct {
	budget *Budget
	conn   int64 // bytes of the connection, which cover small requests
	// makeRoom ends connections that wait for their callers, other than this one, until they have held
	// a number of bytes. It returns false if there are none.
	makeRoom func(bytes int64) bool

	mu      sync.Mutex
	request int64 // bytes that the request in progress needs
	ended   bool
}

// NewClaim returns the claim of a connection whose bytes were granted by AcquireConn. A nil makeRoom finds
// no room.
func NewClaim(budget *Budget, conn int64, makeRoom func(bytes int64) bool) *Claim {
	return &Claim{
		budget:   budget,
		conn:     conn,
		makeRoom: makeRoom,
	}
}

// Reserve makes bytes available to the request in progress, in total. Where they exceed those of the
// connection and the budget is exhausted it ends connections that wait for their callers, and waits a short
// time for that. The error is an *ExceededError.
func (c *Claim) Reserve(ctx context.Context, bytes int64) error {
	if c == nil || c.budget == nil {
		return nil
	}
	more := c.missing(bytes)
	if more <= 0 {
		return nil
	}
	if !c.budget.acquireRequest(more) && !c.acquireAfterRelease(ctx, more) {
		return c.budget.refuse(more)
	}
	c.add(more)
	return nil
}

// TryReserve is Reserve without ending other connections for it.
func (c *Claim) TryReserve(bytes int64) bool {
	if c == nil || c.budget == nil {
		return true
	}
	more := c.missing(bytes)
	if more <= 0 {
		return true
	}
	if !c.budget.acquireRequest(more) {
		return false
	}
	c.add(more)
	return true
}

// add records bytes that were granted to the request.
func (c *Claim) add(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		c.budget.Release(bytes)
		return
	}
	c.request += bytes
}

// missing returns by how much the bytes exceed those of the connection and of the request.
func (c *Claim) missing(bytes int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes - c.conn - c.request
}

// acquireAfterRelease grants bytes that other connections release.
func (c *Claim) acquireAfterRelease(ctx context.Context, bytes int64) bool {
	if c.makeRoom == nil || !c.makeRoom(bytes) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, roomTimeout.Duration())
	defer cancel()
	for {
		released := c.budget.nextRelease()
		if c.budget.acquireRequest(bytes) {
			return true
		}
		select {
		case <-released:
		case <-ctx.Done():
			return false
		}
	}
}

// Trim gives back what the request in progress holds beyond some bytes.
func (c *Claim) Trim(bytes int64) {
	if c == nil || c.budget == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if kept := max(bytes-c.conn, 0); kept < c.request {
		c.budget.Release(c.request - kept)
		c.request = kept
	}
}

// Held returns the bytes that are held, those of the connection included.
func (c *Claim) Held() int64 {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn + c.request
}

// End gives back everything, once.
func (c *Claim) End() {
	if c == nil || c.budget == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended = true
		c.budget.Release(c.conn + c.request)
		c.request = 0
	}
}

// claimKey is the context key of a connection's claim.
type claimKey struct{}

// WithClaim returns a context with the claim of a connection.
func WithClaim(ctx context.Context, c *Claim) context.Context {
	return context.WithValue(ctx, claimKey{}, c)
}

// ClaimOf returns the claim of the connection of a request's context, nil if there is none.
func ClaimOf(ctx context.Context) *Claim {
	c, _ := ctx.Value(claimKey{}).(*Claim)
	return c
}
