// Package mglength estimates how many tokens of a running answer remain, given
// what it has produced.
//
// # Problem
//
// Answers have unknown, widely spread lengths: short and long ones of the same
// account. Without an estimate memory is reserved for the maximum length, which
// leaves most of it idle, or for the present length, which causes preemptions
// when the batch grows. An average of completed answers is biased: under load
// the completed ones are the short ones.
//
// # Estimate
//
// Each class, a client account's use of a service, has a histogram over buckets
// that widen with the length. A bucket counts the answers that passed it and
// those that ended in it; their quotient is the hazard, and the product of its
// complements is the survival function (the product-limit estimate, Kaplan and
// Meier 1958). A running answer counts in each bucket that it has passed, so
// long answers have weight before they end. An answer that was cut off, by a
// caller or at its maximum, counts up to there (right censoring).
//
// # Cold start and change
//
// A class with few answers is estimated from its service, that from its model,
// that from a prior: each level adds PriorWeight answers of the parent level to
// each bucket. Counts decay with the answers that follow, by half every
// HalfLife answers, so that the estimate follows a shift of lengths within
// about that many.
//
// # Bounds
//
// A class takes about 1.5 kB and at most MaxClasses are kept, the most recently
// used ones. An update is O(1); reading a curve is O(Buckets) after an update
// and O(1) otherwise.
//
// An Estimator is not safe for concurrent use.
package mglength
