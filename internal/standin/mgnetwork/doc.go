// Package mgnetwork is an in-memory network for tests of failures.
//
// It carries HTTP between named hosts over pipes. In a testing/synctest bubble time is
// virtual, so that a test of minutes with heartbeats, silence and timeouts takes no
// real time and is reproducible.
//
// Terms:
//
//   - silent connection: open at both ends but carrying no data, as when a device
//     between them has lost its state. New connections work.
//   - cut path: carries no data on old or new connections, as in a partition.
//   - killed host: its connections are closed and new ones refused.
package mgnetwork
