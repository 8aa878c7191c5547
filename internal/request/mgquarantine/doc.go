// Package mgquarantine finds requests that crash the upstreams that run them, and holds
// them back.
//
// # Load
//
// One body ends each engine that begins to run it, with the two dozen other generations
// there. Its caller repeats it, through other entries; an entry that retries it ends a
// second engine. Without a common memory such a request goes through all engines of a
// service, faster than they start again.
//
// # Decision
//
// A request is known by its Digest. An attempt is evidence when its upstream ended while
// the attempt was about to begin there or had just begun. What runs on an upstream ends
// with it, so a single crash says little: a request is held after three crashes, and
//
//   - crashes within a moment count once, as when an availability zone is lost, and so do
//     those whose order nobody can tell;
//   - of the attempts at one upstream those that had just begun are suspected before
//     those that still waited;
//   - crashes that a request explains which is in more of them count for no other;
//   - an answer to the request, from any upstream, voids what was held against it.
//
// Once its hold is over, a request is tried again, one attempt at a time, at the process
// that ranks first for it or, a while later, at any: where upstreams ended for another
// reason an answer ends the quarantine, and a further crash holds the request for longer.
//
// # State
//
// Evidence and answers are Notes: they are only added, so that processes can exchange
// them in any order and more than once (a grow-only set). Each carries its age in place of
// a time. Nothing outlives the processes.
//
// What a note took on its way isn't known, so its age is a lower bound, and the time at
// which a process places it an upper one: the least that any copy shows. An occurrence is
// later than another when one clock proves it: that of the process that saw both, or that
// of the one that saw the later crash, whose attempt was sent after the latest time of the
// earlier one, or ended a moment after it. That process names the earlier notes in its own
// (After), again when a copy that came on a faster way proves more. All processes count by
// these names and not by times of their own. A pause of a process or its clock voids what
// its attempts under way would prove.
//
// # Terms
//
//   - crash: the end of an upstream's process without notice.
//   - occurrence: the crashes of one moment.
//   - sound: a request that an upstream answered.
//   - hold: the time for which a request reaches no upstream.
//
// # References
//
//   - L. Lamport, Time, clocks, and the ordering of events in a distributed system,
//     Communications of the ACM 21 (1978), on what clocks of several processes can tell.
//   - G. Hohpe, B. Woolf, Enterprise Integration Patterns (2003), on poison messages.
//   - M. Shapiro and others, Conflict-free replicated data types, SSS (2011).
//   - V. Chvátal, A greedy heuristic for the set-covering problem, Mathematics of
//     Operations Research 4 (1979).
package mgquarantine
