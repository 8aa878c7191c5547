// Package mgrest holds requests back from upstreams that asked for a rest, the
// time without requests that a Retry-After header states.
//
// # Problem
//
// An overloaded upstream rejects requests and says for how long it wants none
// (Retry-After). Requests that are still sent take up the time in which it
// would recover, and those that waited for the end of its rest would all arrive
// at the same moment and overload it again.
//
// # Decision
//
// A process sends nothing to an upstream during the rest that the upstream
// asked of this process. Afterwards the requests in flight there are limited by
// a window, which starts at one and doubles with each answer (as slow start
// doubles it with each round trip) until the limit is lifted.
//
// # Terms
//
//   - rest: the time in which an upstream wants no requests.
//   - window: the maximum number of requests in flight at an upstream after
//     its rest.
//
// # References
//
//   - M. Allman, V. Paxson, E. Blanton, TCP congestion control, RFC 5681 (2009),
//     3.1.
package mgrest
