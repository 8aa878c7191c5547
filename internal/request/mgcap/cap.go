package mgcap

import (
	"math"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// BurstWindow is the time at a cap's rate that fills its bucket, so it limits a
// burst to what the rate earns in this time, one lease's worth. An account that
// sends all lookups of a page at once isn't capped for it.
const BurstWindow = 2 * mgclock.Second

// busyRetryDelay is the retry delay when all streams are in use: about the
// duration of a short answer.
const busyRetryDelay = mgclock.Second

// A Lease is an entry's slice of an account's cap.
type Lease struct {
	Rate    float64        // tokens per second
	Streams int            // concurrent streams
	Expires mgclock.Millis // expiry by this process's clock
}

// A Cap limits one account to its leased slice. The zero Cap has no lease and
// rejects every start.
type Cap struct {
	lease    Lease
	tokens   float64 // tokens left in the bucket
	filledAt mgclock.Millis
	streams  int // running streams
}

// Renew replaces the lease. Tokens from an unexpired lease stay, up to the
// capacity of the new one.
func (c *Cap) Renew(now mgclock.Millis, lease Lease) {
	c.fill(now)
	if now < c.lease.Expires {
		c.tokens = min(c.tokens, c.capacity(lease))
	}
	c.lease = lease
}

// Streams returns the number of running streams.
func (c *Cap) Streams() int { return c.streams }

// Start takes a stream and its expected cost in tokens, or returns the problem
// that prevents it.
func (c *Cap) Start(now mgclock.Millis, cost float64) *mgproblem.Problem {
	c.fill(now)
	switch {
	case now >= c.lease.Expires || c.lease.Rate <= 0:
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

// End releases the stream and replaces its expected cost by the actual one.
func (c *Cap) End(now mgclock.Millis, expected, cost float64) {
	c.fill(now)
	c.streams = max(c.streams-1, 0)
	c.tokens = min(c.tokens+max(expected, 0)-max(cost, 0), c.capacity(c.lease))
}

// requiredTokens returns the tokens that the bucket must hold for a request of
// a cost to start. A request that costs more than a full bucket starts at a
// full one; the remainder is paid off afterwards.
func (c *Cap) requiredTokens(cost float64) float64 {
	return min(max(cost, 0), c.capacity(c.lease))
}

// timeUntil returns the time until the bucket holds a number of tokens.
func (c *Cap) timeUntil(tokens float64) mgclock.Millis {
	seconds := (tokens - c.tokens) / c.lease.Rate
	return mgclock.Millis(math.Ceil(min(seconds*1000, float64(mgclock.Minute))))
}

// fill adds the tokens that the lease has earned up to now, and drops those
// left when it has expired.
func (c *Cap) fill(now mgclock.Millis) {
	end := min(now, c.lease.Expires)
	if elapsed := end - c.filledAt; elapsed > 0 {
		c.tokens += c.lease.Rate * float64(elapsed) / float64(mgclock.Second)
	}
	c.filledAt = max(c.filledAt, now)
	c.tokens = min(c.tokens, c.capacity(c.lease))
	if now >= c.lease.Expires {
		c.tokens = min(c.tokens, 0)
	}
}

func (c *Cap) capacity(l Lease) float64 {
	return l.Rate * float64(BurstWindow) / float64(mgclock.Second)
}

func problem(detail string, retry mgclock.Millis) *mgproblem.Problem {
	return mgproblem.New(mgproblem.LimitReached, mgproblem.NotRun, detail,
		"come back after the time given, or ask the operators for a higher cap").WithRetryAfter(max(retry, 1))
}
