package mgentry

import (
	"context"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgcap"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgshare"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

const (
	// leaseTimeout bounds the wait for an idle account's first lease: one call to
	// its home within the region. Without an answer the fixed part is used.
	leaseTimeout = 200 * mgclock.Millis(1)
	// defaultExpectedTokens is the expected length of an account's answer in tokens before
	// one is known.
	defaultExpectedTokens = 256
	// expectedTokensWeight is the weight of the newest answer in the expected length.
	// Each start's guess is corrected when it ends, so that only the order of
	// magnitude matters.
	expectedTokensWeight = 0.1
	// idleTTL is how long an account's count is kept after its last use, longer
	// than a bucket takes to fill.
	idleTTL = mgclock.Minute
)

// accountCaps hold the accounts that have accountCaps to this entry's part of them. An
// account without accountCaps, or idle, costs no memory. The zero accountCaps are empty.
type accountCaps struct {
	mu        sync.Mutex
	accounts  map[string]*accountCap
	lastSwept mgclock.Millis
}

// accountCap is an account's count in this entry.
type accountCap struct {
	cap            mgcap.Cap
	expectedTokens float64        // the next answer's expected length in tokens
	lastUsed       mgclock.Millis // when a stream was last taken or given back
}

// acquireStream takes a stream and its expected tokens under an account's caps. The
// function that it returns gives back what the answer did not need; it may be
// called more than once.
func (e *Entry) acquireStream(ctx context.Context, account string) (func(tokens int), *mgproblem.Problem) {
	if e.spec.Acquire == nil {
		return func(int) {}, nil
	}
	expected := e.caps.expectedTokens(account)
	waitCtx, cancel := context.WithTimeout(ctx, leaseTimeout.Duration())
	defer cancel()
	slice, limited := e.spec.Acquire(waitCtx, account, expected)
	if !limited {
		return func(int) {}, nil
	}
	now := e.spec.Clock.Now()
	charged, running, problem := e.caps.start(now, account, slice, expected)
	if problem != nil {
		e.spec.Metrics.Counter("capped").Inc(1)
		return nil, problem
	}
	e.spec.Running(account, running)
	var once sync.Once
	return func(tokens int) {
		once.Do(func() {
			left := e.caps.end(e.spec.Clock.Now(), account, charged, float64(tokens))
			e.spec.Running(account, left)
		})
	}, nil
}

// expectedTokens returns the expected length of an account's next answer in tokens.
func (c *accountCaps) expectedTokens(account string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.accounts[account]; a != nil {
		return a.expectedTokens
	}
	return defaultExpectedTokens
}

// start takes a stream and returns the tokens that it was charged. A lease
// brings its tokens over time and begins with none, so that an account's first
// request after a rest would always be turned away. Its only stream here is
// charged when it ends instead: the account pays after it what others pay
// before, and gets no more over time.
func (c *accountCaps) start(now mgclock.Millis, account string, slice mgshare.Slice, expected float64) (charged float64, running int, problem *mgproblem.Problem) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	a := c.accounts[account]
	if a == nil {
		a = &accountCap{expectedTokens: defaultExpectedTokens}
		c.accounts[account] = a
	}
	a.lastUsed = now
	a.cap.Renew(now, mgcap.Lease{
		Rate:    slice.Rate,
		Streams: slice.Streams,
		End:     slice.End,
	})
	charged = expected
	if a.cap.Streams() == 0 {
		charged = 0
	}
	problem = a.cap.Start(now, charged)
	return charged, a.cap.Streams(), problem
}

func (c *accountCaps) end(now mgclock.Millis, account string, charged, tokens float64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.accounts[account]
	if a == nil {
		return 0
	}
	a.lastUsed = now
	a.cap.End(now, charged, tokens)
	if tokens > 0 {
		// A request that was turned away says nothing of the length of answers.
		a.expectedTokens += expectedTokensWeight * (tokens - a.expectedTokens)
	}
	return a.cap.Streams()
}

// sweep forgets idle accounts.
func (c *accountCaps) sweep(now mgclock.Millis) {
	if c.accounts == nil {
		c.accounts = map[string]*accountCap{}
	}
	if now < c.lastSwept+idleTTL {
		return
	}
	c.lastSwept = now
	for name, a := range c.accounts {
		if a.cap.Streams() == 0 && now >= a.lastUsed+idleTTL {
			delete(c.accounts, name)
		}
	}
}

// Len returns the number of accounts that cost memory.
func (c *accountCaps) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.accounts)
}
