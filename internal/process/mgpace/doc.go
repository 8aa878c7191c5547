// Package mgpace decides how an engine comes and goes: how much a new one takes,
// and what becomes of the streams of one that leaves. Loads of weights and
// changes of placement are paced by mgplacement.Pacer, which knows the plan.
//
// # Load
//
// Capacity comes and goes while requests keep coming. A new engine is the
// idlest of all, gets everything at once with cold caches, and is slow for it.
// A leaving engine's long streams are cut although there was time to end them,
// or nobody is told before it dies.
//
// # Decisions
//
//   - Ramp lets a new or returned engine take part of its batch, growing
//     evenly over Warm; trouble sends it back by half.
//   - Drain looks at each stream of a leaving engine: it stays where it can end
//     before the notice is over, moves where nothing was delivered, and is
//     otherwise closed in time for its caller to hear of it.
//
// No type is safe for concurrent use.
package mgpace
