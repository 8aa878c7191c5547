// Package mgevent takes the control events of a process to their handlers: a
// version adopted, an upstream leaving, a pause noticed.
//
// All events pass one watermill channel and are handled one after another, so
// that a handler needs no lock of its own and no two handlers see two events in
// different orders. The paper "Analysis of kafka controller" (doucie, 2022)
// describes the same for a cluster's controller; its election and its
// coordination service are not used here. What the queue costs against locks is
// measured in docs/MEASUREMENTS.md.
//
// Publish never waits for a handler: it is called under locks and on the path
// of requests. watermill's channel alone would not keep the order, as it sends
// each message by a goroutine of its own; so the bus publishes the next event
// when the last was acknowledged.
//
// # Terms
//
//   - event: a kind, what it is about and a detail; handled once.
//   - trace: the last events with how long they waited and took.
//
// # References
//
//   - doucie, Analysis of kafka controller (2022).
//   - M. Welsh, D. Culler, E. Brewer, SEDA: an architecture for well-conditioned,
//     scalable Internet services, SOSP (2001).
package mgevent
