// Package mgevent delivers the control events of a process to their handlers: a
// version was adopted, an upstream is leaving, a pause was detected.
//
// All events pass through one watermill channel and are handled one after
// another, so that a handler needs no lock of its own and all handlers see the
// events in the same order. The paper "Analysis of kafka controller" (doucie,
// 2022) describes the same for a cluster's controller; its election and its
// coordination service are not used here. The cost of the queue compared with
// locks is measured in docs/MEASUREMENTS.md.
//
// Publish never waits for a handler, because it is called under locks and on the
// request path. A watermill channel alone would not preserve the order, since it
// sends each message from a separate goroutine; the bus therefore publishes an
// event only after the previous one was acknowledged.
//
// # Terms
//
//   - event: a kind, a subject and a detail; handled once.
//   - trace: the last events, with their queueing and handling times.
//
// # References
//
//   - doucie, Analysis of kafka controller (2022).
//   - M. Welsh, D. Culler, E. Brewer, SEDA: an architecture for well-conditioned,
//     scalable Internet services, SOSP (2001).
package mgevent
