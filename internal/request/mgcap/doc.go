// Package mgcap limits a client account to its caps, in tokens per second and
// in concurrent streams, by slices that are leased to entries.
//
// # Problem
//
// A few accounts or keys send most of the requests. Without caps they take the
// engines from all others wherever fair queueing comes too late; if each entry
// counts caps by itself, an account gets a multiple of its cap; and a slice
// that an entry keeps through a partition is handed out twice.
//
// # Decisions
//
// A Cap is a token bucket (Turner 1986) whose rate is that of its leases. A
// lease adds to the bucket only until it expires by the clock, so an entry that
// can't reach the account's home (the entry that leases out its cap), or that
// was suspended, soon has no tokens left; saved tokens expire with the lease.
// The bucket's capacity is what the rate earns in BurstWindow.
//
// An answer's length is unknown: its expected cost is taken when it starts and
// corrected when it ends. The bucket may become negative if an answer was
// longer than expected, and nothing starts until that is paid off, so over time
// the account gets its cap and no more. A rejected caller gets the time until
// the bucket will hold enough.
//
// A Cap is not safe for concurrent use.
package mgcap
