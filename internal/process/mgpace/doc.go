// Package mgpace decides how fast the system shifts: how much a new engine
// takes, when a role or a placement changes, how often weights are loaded, and
// what becomes of the streams of an engine that leaves.
//
// # Load
//
// Capacity comes and goes while requests keep coming. A new engine is the
// idlest of all, gets everything at once with cold caches, and is slow for it.
// A load near a threshold flips a role each second, and each flip costs the
// engine its caches. Engines that start together ask the weight store together,
// are refused together and ask again together, so that it serves none. A
// leaving engine's long streams are cut although there was time to end them,
// or nobody is told before it dies.
//
// # Decisions
//
//   - Ramp lets a new or returned engine take part of its batch, growing
//     evenly over Warm; trouble sends it back by half.
//   - Band and Hold are hysteresis: a level must pass the upper threshold to
//     switch on and the lower one to switch off; a wish must last Settle and
//     the last change be Dwell ago.
//   - Loads is the rate of loads from the weight store. It rises by a step with
//     each success and is halved by a refusal (AIMD, Chiu and Jain 1989), under
//     which many processes that can't see each other share a limit fairly.
//   - Drain looks at each stream of a leaving engine: it stays where it can end
//     before the notice is over, moves where nothing was delivered, and is
//     otherwise closed in time for its caller to hear of it.
//
// No type is safe for concurrent use.
package mgpace
