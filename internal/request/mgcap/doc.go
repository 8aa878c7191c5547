// Package mgcap holds a client account to its caps, in tokens a second and in
// concurrent streams, over slices that are leased to an entry.
//
// # Load
//
// A few accounts or keys send most of the requests. Without caps they take the
// engines from all others wherever fairness between waiting requests comes too
// late; with caps counted at each entry an account gets a multiple of its cap;
// and a slice that an entry keeps through a partition is handed out twice.
//
// # Decisions
//
// A Cap is a token bucket (Turner 1986) whose rate is that of its leases. A
// lease adds to the bucket only until it ends by the clock, so an entry that
// can't reach the account's home, or that slept, soon has nothing to give out;
// what it had saved up is gone with the lease too. The bucket holds Burst of the
// rate at most.
//
// An answer's length is unknown: its expected cost is taken when it starts and
// corrected when it ends. The bucket may go below zero by what an answer was
// longer than expected, and nothing starts until that is paid off, so over
// time the account gets its cap and no more. Who is turned away is told when
// the bucket will hold enough.
//
// A Cap is not safe for concurrent use.
package mgcap
