// Package mgnetwork is a network in memory for tests of failures.
//
// It carries HTTP between named hosts over pipes. Within a bubble of
// testing/synctest time is virtual, so that a play of minutes with heartbeats,
// silence and timeouts ends at once and each run gives the same verdict.
//
// Terms: a silent connection is open at both ends and carries nothing any more,
// as when a device between them has forgotten it; new ones work. A cut path
// carries nothing, old or new, as in a partition. A killed host breaks its
// connections and refuses new ones.
package mgnetwork
