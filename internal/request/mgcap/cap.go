package mgcap

import (
	"math"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// BurstWindow is the span of its rate that a bucket holds at most. An account that
// sends a page's worth of lookups at once isn't capped for it, and what it may
// send at once is no more than a lease's worth.
const BurstWindow = 2 * mgclock.Second

// busyRetryDelay is the span after which a caller may come back when all streams are in
// use: about the length of a short answer.
const busyRetryDelay = mgclock.Second

// A Lease is a slice of an account's cap.
type Lease struct {
	Rate    float64        // tokens a second
	Streams int            // concurrent streams
	End     mgclock.Millis // when it ends, by this process's clock
}

// A Cap holds one account to its slice. The zero Cap has no lease and lets
// nothing start.
type Cap struct {
	lease    Lease
	tokens   float64 // tokens that may be taken
	filledAt mgclock.Millis
	streams  int // that run
}

// Renew replaces the lease. What the old one has brought stays, as far as the
// new one holds it.
func (c *Cap) Renew(now mgclock.Millis, lease Lease) {
	c.fill(now)
	if now < c.lease.End {
		c.tokens = min(c.tokens, c.capacity(lease))
	}
	c.lease = lease
}

// Streams returns the number of streams that run.
func (c *Cap) Streams() int { return c.streams }

// Start takes a stream and its expected cost in tokens, or returns the problem
// for which it may not start.
func (c *Cap) Start(now mgclock.Millis, cost float64) *mgproblem.Problem {
	c.fill(now)
	switch {
	case now >= c.lease.End || c.lease.Rate <= 0:
		return problem("the account has no share of its cap here at present", busyRetryDelay)
	case c.streams >= c.lease.Streams:
		return problem("the account's streams are all in use", busyRetryDelay)
	case c.tokens < c.requiredTokens(cost):
		return problem("the account's tokens are used up", c.timeUntil(c.requiredTokens(cost)))
	}
	c.tokens -= max(cost, 0)
	c.streams++
	return nil
}

// End gives the stream back and corrects what was taken by the real cost.
func (c *Cap) End(now mgclock.Millis, expected, cost float64) {
	c.fill(now)
	c.streams = max(c.streams-1, 0)
	c.tokens = min(c.tokens+max(expected, 0)-max(cost, 0), c.capacity(c.lease))
}

// requiredTokens returns the level at which a cost may be taken. A request of more
// than a full bucket is let in by a full one, and pays off the rest after.
func (c *Cap) requiredTokens(cost float64) float64 {
	return min(max(cost, 0), c.capacity(c.lease))
}

// timeUntil returns the span timeUntil the bucket holds a level.
func (c *Cap) timeUntil(tokens float64) mgclock.Millis {
	seconds := (tokens - c.tokens) / c.lease.Rate
	return mgclock.Millis(math.Ceil(min(seconds*1000, float64(mgclock.Minute))))
}

// fill adds what the lease has brought until now, or takes what is left when
// it has ended.
func (c *Cap) fill(now mgclock.Millis) {
	end := min(now, c.lease.End)
	if elapsed := end - c.filledAt; elapsed > 0 {
		c.tokens += c.lease.Rate * float64(elapsed) / float64(mgclock.Second)
	}
	c.filledAt = max(c.filledAt, now)
	c.tokens = min(c.tokens, c.capacity(c.lease))
	if now >= c.lease.End {
		c.tokens = min(c.tokens, 0)
	}
}

func (c *Cap) capacity(l Lease) float64 {
	return l.Rate * float64(BurstWindow) / float64(mgclock.Second)
}

func problem(detail string, retry mgclock.Millis) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Capped, mgproblem.NotRun, detail,
		"come back after the time given, or ask the operators for a higher cap").WithRetry(max(retry, 1))
}
