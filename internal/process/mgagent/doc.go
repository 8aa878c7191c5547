// Package mgagent implements the process that runs beside one upstream.
//
// It is the only process that sends work and orders to its upstream. It counts
// what it has admitted, so that its decisions never depend on the upstream's
// lagging load reports alone. It holds the waiting list, the memory budget, and
// the ledgers of attempts and of operations that run at most once, and it
// attests that a request did not run ("not run").
//
// Terms: a generation is one run of a model; an attempt is an entry's request
// for a generation; an incarnation is the lifetime of one agent process.
//
// All state is soft. A replacement agent finds the generations that its
// predecessor started by listing them at the engine, and answers "unknown" where
// it cannot know an outcome.
package mgagent
