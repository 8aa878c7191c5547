// Package mgscheduler makes an agent's decisions for its upstream. It combines the fair
// queue, the memory gate and the forecast of waits.
//
// # Problem
//
// An upstream gets more requests than it can answer in time, of unknown length, from
// accounts of which a few send most. Without the scheduler a request waits until its caller
// has gone, the upstream computes answers that nobody reads, and the account that sends
// most gets most.
//
// # Decisions
//
// Submit queues a request or refuses it at once, with the time after which it could be
// answered. Poll starts what the gate admits, in the order of the queue, and gives up what
// can no longer be answered in time; the caller polls after each event and at NextWake.
// While the head of the queue waits for memory, short requests that fit may overtake it
// (backfilling, Lifka 1995), up to a total that depends on its own cost: an unlimited
// number of them would keep a long prompt waiting forever.
//
// The engine's reports lag, so the scheduler counts by itself what it started; ReportUsed only
// reports memory that something else holds.
//
// A Scheduler has no clock, no network and no goroutine, and isn't safe for concurrent use:
// its agent guards it.
package mgscheduler
