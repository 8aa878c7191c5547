// Package mgagent is the process beside an upstream.
//
// It alone gives its upstream work and orders, and counts what it let in, so
// that it never decides on the upstream's lagging report alone. It holds the
// queue, the memory budget, the record of attempts and of operations that run
// at most once, and it attests "not run".
//
// Terms: a generation is one run of a model; an attempt is an entry's request
// for one; an incarnation is one life of an agent.
//
// All of it is soft state: an agent that is replaced picks up from the engine
// by id what its predecessor started, and answers "unknown" to what it can't
// know.
package mgagent
