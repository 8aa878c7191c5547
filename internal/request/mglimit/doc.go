// Package mglimit keeps the requests that all processes together send to an upstream within
// the rate that the upstream asks for.
//
// # Problem
//
// An overloaded upstream names in its answers how many requests a second it takes from all
// processes together. A process sees only its own requests. Equal parts would waste what
// idle processes don't use: of 5 requests a second each of 300 processes would get one a
// minute.
//
// # Decision
//
// The rate that answers name is stored in a record of type Record, with the time when it was
// last named and the time when an answer named none. Processes exchange these records. A
// record applies to one incarnation of the upstream and doesn't expire while the upstream
// is listed: where nothing is sent, nothing shows that the upstream has recovered, and a
// process that dropped the limit would send at the full rate. A small rate is therefore
// always granted, so that answers keep coming.
//
// Each request to such an upstream takes a permit, from the process that grants placements
// for the cell (Permits, a token bucket for each upstream). Where several processes grant
// permits, each grants a part of the rate: the number of processes that use this granter,
// divided by the number of all processes (ShareOf). The parts sum to the rate also while a
// granter is dead, replaced or cut off, or while two processes both act as the granter.
//
// # Terms
//
//   - cell: a part of a region's processes that share a hub; the hub grants placements for
//     it.
//   - limit: the requests a second that an upstream takes from all processes together.
//   - record: what a process knows of a limit, with the ages of the answers that it knows
//     this from (Record).
//   - permit: a token that allows sending one request.
//   - granter: a process that grants permits.
//   - incarnation: the time from a start of an upstream to its end.
//
// # References
//
//   - J. Turner, New directions in communications, IEEE Communications Magazine 24 (1986),
//     on token buckets.
//   - M. Shapiro and others, Conflict-free replicated data types, SSS (2011).
package mglimit
