// Package mgmigration decides how a running generation is migrated from an
// engine that is about to leave to one that stays. It has no clock, no
// goroutine and no network: callers pass in the time and carry out the calls.
//
// # Problem
//
// Engines are reclaimed at one or two seconds' notice while generations of
// seven seconds and more run on them. If such a run is interrupted, a
// generation that must not be started over is lost, with all the time that its
// caller has waited. If it is copied in one step with the run stopped, its
// caller sees a pause as long as the whole copy, 190 ms for 3,500 tokens at 24
// Gbit/s, plus that of all copies queued before it.
//
// # Decision
//
// A Move copies the KV cache while the run continues (pre-copy), then stops the
// run, copies what was added since, and names where the generation can resume
// (Clark et al. 2005). Every step may fail:
//
//   - the destination has no capacity or can't be reached: another one is
//     tried before the run is stopped;
//   - the last copy of a stopped run failed: the run resumes at its source,
//     from the memory that the source keeps;
//   - the reply to the stop is lost, so that the run may have stopped or not:
//     the run resumes from the pre-copy only once its stream has ended, so that
//     it never runs twice;
//   - the run has ended by itself: nothing is left to do.
//
// Runs of one source are moved one after another, each holding the source's
// migration slot: they share its link, and a stop that queues behind another
// run's copy would pause its stream for as long as that copy takes.
//
// # Terms
//
//   - run: a generation while one engine runs it.
//   - source, destination: the engine that leaves, the one that takes over.
//   - handle: the name of a copy; it can be used once.
//   - migration slot: the right to move one run away from a source.
//
// # References
//
//   - C. Clark and others, Live migration of virtual machines, NSDI (2005).
//   - B. Sun and others, Llumnix: dynamic scheduling for large language model
//     serving, OSDI (2024), on moving running generations.
package mgmigration
