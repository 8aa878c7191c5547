// Package mgmigration decides how a running generation is handed from an engine
// that leaves to one that stays. It has no clock, no goroutine and no network.
//
// # Load
//
// Engines are reclaimed at one or two seconds' notice while generations of
// seven seconds and more run on them. Cut there, a generation that may not be
// started over is lost with all that its caller has waited for. Copied in one
// step, with the run stopped, its caller sees a pause of the whole copy: 190 ms
// for 3,500 tokens at 24 Gbit/s, and that of all copies queued before it.
//
// # Decision
//
// A Move copies the memory while the run goes on (pre-copy), then stops the run
// and copies what came since, and names where the generation goes on (Clark et
// al. 2005). Every step may fail:
//
//   - a destination without room, or that can't be reached: another one is
//     tried, before the run is stopped;
//   - a stop whose last copy failed: the run goes on where it was, out of the
//     memory that the source keeps;
//   - a lost answer to the stop: the run may have stopped or not. It goes on
//     from the pre-copy only when its stream has ended, so that it never runs
//     twice;
//   - a run that has ended by itself: nothing is left to do.
//
// Runs of one source are moved one after another: they share its link, and a
// stop that queues behind another's copy would pause its stream for as long.
//
// # Terms
//
//   - source, destination: the engine that leaves, the one that takes over.
//   - handle: the name of a copy; it can be used once.
//
// # References
//
//   - C. Clark and others, Live migration of virtual machines, NSDI (2005).
//   - B. Sun and others, Llumnix: dynamic scheduling for large language model
//     serving, OSDI (2024), on moving running generations.
package mgmigration
