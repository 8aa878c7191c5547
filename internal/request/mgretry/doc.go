// Package mgretry decides whether and when a request is tried again, and when
// a lookup is sent twice.
//
// # Load
//
// An upstream fails and every request is tried again, several times, by every
// process on the way: the load multiplies just when there is least to carry it,
// and after the outage all callers come back in the same moment and cause the
// next one. A write that isn't idempotent runs twice when it is tried again
// although it had run.
//
// # Decisions
//
// A Budget is a token bucket that fills with successes: Ratio of a retry for
// each. When nothing succeeds, a bounded number of retries is made and then
// none, so that an outage multiplies the load by 1 + Ratio at most.
//
// A retry waits at least as long as it was told to, and a random span on top
// whose bound doubles each time up to Ceiling (full jitter: Brooker 2015). A
// caller that goes on at the ceiling outlasts an outage of any length at a
// bounded rate, and callers that failed together come back apart.
//
// Only what certainly did not run, or may run twice, is tried again; nothing
// is once a token was delivered, as no answer is spliced from two generations.
//
// A Hedge sends a second copy of an idempotent lookup after the 95th percentile
// of the observed delays (Dean and Barroso 2013), out of a budget of its own:
// one request in twenty is slower than that by definition, so hedges add 5 %
// to the load; when an upstream turns slow and every lookup is, the budget ends
// them.
//
// All types are safe for concurrent use by atomics.
package mgretry
