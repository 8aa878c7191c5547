// Package mgadmission decides which requests an upstream's agent admits, predicts how long
// a request is going to wait, and computes when a refused one may come back.
//
// # Problem
//
// An answer's memory in an engine grows by a token in each step, and nobody knows for how
// long. If requests are admitted by what fits now, the batch outgrows memory in the middle
// of decoding, the engine preempts answers, and these are computed again: under saturation
// most of the work is wasted. If they are admitted by their maximum length, most of the
// memory stays idle.
//
// # Memory
//
// A Gate counts the memory of what it admitted by itself; an engine's report lags and only
// corrects the count. It has four rules, so that they can be compared:
//
//   - OverflowProbability, the default, considers the times 1, 16, 32, … steps ahead. At
//     each of them an answer either has ended, and its memory is free, or holds its prompt
//     and what it has produced until then; the probabilities come from its curve (package
//     mglength). Sums of many small independent parts are nearly normally distributed.
//     Therefore, if mean + z·deviation is within memory at that time, so is the batch,
//     with the probability that a normally distributed value is at most z deviations
//     above its mean. A request is admitted when that holds at every time. z depends on the
//     request's preference and size; see DefaultSteady.
//   - Watermark admits requests while a fixed share of the memory stays free.
//   - Reserve counts each answer with its maximum length.
//   - CurrentSize admits what fits now.
//
// An idle engine admits whatever fits its memory, under every rule. The memory of a
// preempted answer stays counted until it has been resumed and has ended.
//
// # Time
//
// A Forecast measures the work that the upstream does per millisecond, and the time from a
// prompt's start to its first token. From the work ahead of a request it predicts the wait.
// A request whose deadline can't be met is refused when it comes, with the time after which
// it could be met. A waiting request is given up at the last time at which its first token
// could still be on time, and its caller learns it then, not at the deadline.
//
// Neither type is safe for concurrent use.
package mgadmission
