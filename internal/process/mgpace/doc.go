// Package mgpace controls how load is added to a new engine and removed from a
// leaving one: the share of its batch that a new engine may use, and the action
// for each stream of a leaving engine. Loading of weights and changes of the
// model plan are paced by mgplacement.Pacer, which knows the plan.
//
// # Load
//
// Engines come and go while requests keep arriving. A new engine is the least
// loaded of all, so it would be assigned every request at once while its caches
// are empty, and would be slow. On a leaving engine, long streams would be cut
// off although there was time to finish them, or the engine would be gone before
// their callers were informed.
//
// # Decisions
//
//   - Ramp limits a new or returned engine to a share of its batch, which grows
//     linearly over WarmUpTime. A preemption or stall halves the share.
//   - ActionFor decides on each stream of a leaving engine: it stays if it can
//     end before the notice is over, is restarted elsewhere if nothing was
//     delivered, and is otherwise closed early enough to inform its caller.
//
// No type is safe for concurrent use.
package mgpace
