// Package mgspeed learns how fast each engine is, from streams that run anyway.
//
// # Problem
//
// The cost of a request at an engine (see mgload.Cost) is computed from the published speed
// of one kind of engine. An engine that takes 1.8 times as long for each step, or that
// slows down as it fills, then looks as good as its neighbours, and each request that is
// placed there waits longer than predicted. The moving average of the time per token (see
// mgload.Tracker.RecordPace) finds only engines that are far slower than the others, since
// it also rises with the number of running requests and with prompts that are prefilled
// beside them.
//
// # Model
//
// A step of an engine is expected to take
//
//	DefaultStep + DefaultPerRun*runs + prefillTime, the last one while a prompt is prefilled,
//
// and the first event of a request is expected after the prompts that were pending at the
// engine when the request was sent, and its own, have been prefilled in chunks, one for
// each step. A sample is a ratio of a measured time to the expected one. For each
// incarnation of an engine, two models are fitted to the samples:
//
//   - the time of steps: the mean ratio (the level) and, if it is certain, its increase
//     with the number of running requests (the slope), by linear regression;
//   - the time of prefill: the mean ratio.
//
// Both are shrunk to the reference: the median of the known engines of a service, or 1
// where few are known. So an engine without evidence, such as one that has just started,
// counts as a typical one, and a deployment whose engines are all slower or faster than the
// published kind has no engine that deviates.
//
// An engine deviates if its ratio differs from the reference by at least minFactor and by
// more than certainErrors standard errors. Only then does its speed change costs.
//
// # Robustness
//
// The tokens that one entry receives from an engine within sampleWindow make one sample, so
// that a pause counts once, however many streams it stops. The ratio of a sample is limited
// to maxChange times the level known before (Winsorization, see Huber 1981, Robust
// Statistics): a single pause hardly moves the level, while an engine that is always slow
// moves it further with each sample. Samples of several entries within one window aren't
// independent, so the number of samples for the standard error is at most the number of
// windows in which the engine has been observed.
//
// # Merging
//
// Each entry holds exponentially decaying sums of its samples. Sums of several entries add
// up. The entries send them to their hub, which merges them, computes all speeds and
// returns those of the engines that deviate. The sums stay at the entries: a new hub has
// them after the next round, and an entry without a hub uses its own.
//
// # Terms
//
//   - engine: an upstream that produces generations.
//   - incarnation: one life of an engine, named by the time of its start.
//   - level: the ratio of the measured time of a step to the expected one; a larger level
//     is slower.
//   - reference: the level of a typical engine of the service.
//   - deviation: by how much an engine is slower (or, if negative, faster) than a typical
//     one.
package mgspeed
