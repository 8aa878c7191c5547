// Package mgadmission decides what an upstream's agent lets in, how long a
// request is going to wait, and when one that is turned away may come back.
//
// # Load
//
// Answers grow in an engine's memory by a token a step and nobody knows for
// how long. Let in by what fits now, the batch outgrows memory in the middle of
// decoding, the engine preempts, and what it preempts is computed again: under
// saturation most of the work is thrown away. Let in by the maximum length,
// most of the memory stays idle.
//
// # Memory
//
// A Gate counts the memory of what it let in by itself; an engine's report
// lags and only corrects. It has four rules, so that they can be compared:
//
//   - Outgrow, the default, looks at the moments 1, 16, 32, … steps ahead. At
//     each one an answer either has ended, and its memory is free, or holds its
//     prompt and what it produced until then; the chances come from its curve
//     (package mglength). Sums of many small independent parts are nearly
//     normal, so the batch stays within memory at that moment with the chance
//     that belongs to z when mean + z·deviation does. A request is let in when
//     that holds at every moment. z depends on the request's preference and
//     size; see DefaultSteady.
//   - Mark lets in while a fixed share of the memory stays free.
//   - Reserve counts each answer with its maximum length.
//   - Now lets in what fits now.
//
// An idle engine lets in whatever fits its memory, under every rule. The memory
// of a preempted answer stays counted until it has come back and ended.
//
// # Time
//
// A Forecast measures what the upstream gets done per millisecond and how long
// a prompt takes to its first token. From the work ahead of a request it
// predicts the wait: a request whose deadline can't be met is turned away when
// it comes, with the time after which it could be met. A waiting one is given
// up on at the last moment at which its first token could still be in time,
// and is answered then, not at its deadline.
//
// Neither type is safe for concurrent use.
package mgadmission
