// Package mgretry decides whether and when a request is retried, and when a
// lookup is sent twice.
//
// # Problem
//
// When an upstream fails, every request is retried several times by every
// process on its path: the load multiplies just when capacity is lowest, and
// after the outage all callers retry at the same moment and cause the next one.
// A write that isn't idempotent runs twice if it is retried although it had
// run.
//
// # Decisions
//
// A Budget is a token bucket that successes fill: each earns a fraction Ratio
// of a retry. When nothing succeeds, a bounded number of retries is made and
// then none, so that an outage multiplies the load by 1 + Ratio at most.
//
// The backoff before a retry is at least the delay that the problem asks for,
// plus a random one whose maximum doubles with each try up to MaxBackoff (full
// jitter: Brooker 2015). A caller that keeps retrying at MaxBackoff sends at a
// bounded rate until an outage of any length is over, and callers that failed
// together don't retry together.
//
// Only what certainly did not run, or is allowed to run twice, is retried;
// nothing is retried once a token was delivered, as no answer is composed of
// two generations.
//
// A Hedge sends a second copy of an idempotent lookup after the 95th percentile
// of the observed delays (Dean and Barroso 2013), out of a budget of its own:
// one request in twenty is slower than that by definition, so hedges add 5 % to
// the load; when an upstream becomes slow and every lookup exceeds it, the
// budget stops the hedges.
//
// All types are safe for concurrent use.
package mgretry
