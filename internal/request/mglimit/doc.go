// Package mglimit keeps what all processes together send to an upstream within the rate
// that it asks for.
//
// # Load
//
// An upstream in need names in its answers how many requests a second it takes from all
// processes together. A process sees its own sends only. Equal parts waste what idle
// processes don't use: of 5 requests a second each of 300 processes has one a minute.
//
// # Decision
//
// What answers say is a Word, which processes tell one another: the rate, and when it was
// named last or found to be named no more. A word holds for one life of the upstream and
// doesn't run out: where nothing is sent, nothing shows that the upstream has recovered, and
// a process that forgot would send at the full rate. A small rate is therefore always
// granted, so that answers keep coming.
//
// Each request to such an upstream takes a permit, from the process that gives places for
// the cell (Permits, a token bucket for each upstream). Where several processes grant, each
// grants the part of the rate that those who turn to it are of all (PartOf): the parts sum to
// the rate while a granter is dead, replaced or cut off, or two take themselves for it.
//
// # Terms
//
//   - limit: the requests a second that an upstream takes from all processes together.
//   - word: what a process knows of a limit, and how old that is.
//   - permit: leave to send one request.
//   - granter: a process that gives permits.
//
// # References
//
//   - J. Turner, New directions in communications, IEEE Communications Magazine 24 (1986),
//     on token buckets.
//   - M. Shapiro and others, Conflict-free replicated data types, SSS (2011).
package mglimit
