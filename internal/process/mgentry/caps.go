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
	// leaseTimeout bounds the wait for an idle account's first lease, which takes one
	// call to its home within the region. Without a reply the fixed part is used.
	leaseTimeout = 200 * mgclock.Millis(1)
	// defaultExpectedTokens is the expected length of an account's answer before any
	// answer of it is known.
	defaultExpectedTokens = 256
	// expectedTokensWeight is the weight of the newest answer in the moving average
	// of the expected length. The charge of each start is corrected when it ends, so
	// only the order of magnitude matters.
	expectedTokensWeight = 0.1
	// idleTTL is how long an idle account's usage is kept. It is longer than a
	// bucket takes to fill.
	idleTTL = mgclock.Minute
)

// accountCaps limits each account to this entry's share of its caps. Accounts
// without caps and idle accounts use no memory. The zero value is empty.
type accountCaps struct {
	mu        sync.Mutex
	accounts  map[string]*accountCap
	lastSwept mgclock.Millis
}

// accountCap tracks an account's usage on this entry.
type accountCap struct {
	cap            mgcap.Cap
	expectedTokens float64        // of the account's next answer
	lastUsed       mgclock.Millis // when a stream was last acquired or released
}

// acquireStream charges a stream and its expected tokens to an account's caps.
// The function it returns releases the stream and refunds the tokens that the
// answer did not use; it may be called more than once.
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
	e.spec.ReportRunning(account, running)
	var once sync.Once
	return func(tokens int) {
		once.Do(func() {
			remainingStreams := e.caps.end(e.spec.Clock.Now(), account, charged, float64(tokens))
			e.spec.ReportRunning(account, remainingStreams)
		})
	}, nil
}

// expectedTokens returns the expected length of an account's next answer.
func (c *accountCaps) expectedTokens(account string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.accounts[account]; a != nil {
		return a.expectedTokens
	}
	return defaultExpectedTokens
}

// start acquires a stream and returns the tokens charged for it. A lease accrues
// tokens over time and starts with none, so the first request of an idle account
// would always be refused. An account's only stream on this entry is therefore
// charged when it ends: the account pays afterwards instead of in advance, and
// gets no more tokens over time.
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
		Expires: slice.End,
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
		// A refused request says nothing about the length of answers.
		a.expectedTokens += expectedTokensWeight * (tokens - a.expectedTokens)
	}
	return a.cap.Streams()
}

// sweep removes idle accounts.
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

// Len returns the number of accounts in memory.
func (c *accountCaps) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.accounts)
}
