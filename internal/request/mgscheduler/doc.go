// Package mgscheduler is what an agent decides for its upstream: the fair
// queue, the gate over memory and the forecast of waits put together.
//
// # Load
//
// More requests than an upstream can answer in time, of unknown length, from
// accounts of which a few take most. Without the scheduler a request waits
// until its caller has gone, the upstream computes answers that nobody reads,
// and who asks most gets most.
//
// # Decisions
//
// Submit queues a request or refuses it at once, with the time after which it
// could be answered. Poll starts what the gate lets in, in the order of the
// queue, and gives up on what can no longer be answered in time; the caller
// polls after each event and at NextWake. While the head of the queue waits for
// memory, short requests that fit may pass it (backfilling, Lifka 1995), but
// only up to its own cost: a stream of them would keep a long prompt waiting for
// ever.
//
// The engine's reports lag, so the scheduler counts what it started by itself;
// Used only tells it of memory that something else holds.
//
// A Scheduler has no clock, no network and no goroutine, and isn't safe for
// concurrent use: its agent guards it.
package mgscheduler
