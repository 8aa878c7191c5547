// Package mglength estimates how many tokens an answer still has to come,
// given what it has produced.
//
// # Load
//
// Answers have unknown, widely spread lengths: short notes and long reports of
// the same account. Without an estimate memory is promised by the maximum,
// which leaves most of it idle, or by what fits now, which preempts when the
// batch grows. An average of completed answers is no estimate either: under
// load the completed ones are the short ones.
//
// # Estimate
//
// Each class, a client account's use of a service, has a histogram over
// buckets that widen with the length. A bucket counts the answers that went
// through it and those that ended in it; their quotient is the hazard, and the
// product of its complements is the survival function (the product-limit
// estimate, Kaplan and Meier 1958). A running answer counts in each bucket
// that it has left behind, so long answers weigh in before they end. An answer
// that was cut off, by a caller or at its maximum, counts up to there.
//
// # Cold start and change
//
// A class that has seen little leans on its service, that on its model, that
// on a prior: each level adds Trust answers' worth of the level above to each
// bucket. Counts fade with the answers that follow, by half every HalfLife
// answers, so that a shift of lengths is learnt within about that many.
//
// # Bounds
//
// A class costs about 1.5 kB and at most Classes are kept, the most recently
// used. An update is O(1); a look is O(Buckets) after an update and O(1) else.
//
// An Estimator is not safe for concurrent use.
package mglength
