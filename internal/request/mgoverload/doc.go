// Package mgoverload decides when a process closes new connections unread because it has
// more work than its processor bears.
//
// # Load
//
// A load balancer may send most new connections to one small process. Beyond saturation
// each event waits for the processor, and a request needs several: accepting, reading,
// connecting, the upstream's answer. Soon hardly any request ends in its time, and the work
// done for those that don't is lost, so that the process serves less the more it is offered.
// The number of connections doesn't show it: a few dozen saturate a small processor, and a
// large one bears hundreds.
//
// # Decision
//
// The measure is the time that an event waits until the process handles it (package mglag). A
// Gate is closed while that time has exceeded Target for Interval without a break. A minimum
// over an interval tells a standing queue from a burst, a garbage collection or a stall, after
// which the queue is empty within a few events; this is the rule of CoDel (K. Nichols, V.
// Jacobson, Controlling Delay Active Queue Management, RFC 8289, 2018). Unlike CoDel, which
// delays the next drop, a closed gate admits nothing: the caller of a connection closed unread
// knows that nothing ran and tries another process at once, whereas a request that is read and
// then served late is lost. Within Memory of having been closed, the gate closes at the first
// long wait, since the load that closed it is likely to last.
//
// Requests that have been read aren't affected. Connections that have been accepted end after their next
// response while the gate is closed, or once they have been idle for a while (package mgnode).
package mgoverload
