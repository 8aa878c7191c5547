// Package mgrest keeps requests from upstreams that asked for a rest.
//
// # Load
//
// An upstream that is overloaded turns requests away and says for how long it wants
// none. Requests that go on coming cost it the time that it asked for, and those that
// waited for the end of its rest would all come in the same moment and overload it
// again.
//
// # Decision
//
// A process sends an upstream nothing during the rest that it asked this process for.
// After it as many requests as one window are in flight there, which begins with one
// and doubles with each answer (slow start), until it bears no restriction.
//
// # Terms
//
//   - rest: the time for which an upstream wants nothing.
//   - window: how many requests may be in flight at an upstream after its rest.
//
// # References
//
//   - M. Allman, V. Paxson, E. Blanton, TCP congestion control, RFC 5681 (2009), 3.1.
package mgrest
