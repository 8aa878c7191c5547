// Package mgfence prevents an agent that was paused or replaced from sending
// outdated orders to its engine.
//
// Terms: each order has a fencing number, and an engine that checks these
// numbers refuses an order with a lower number than it has seen. An order lease
// is the time for which evidence that this agent is the engine's current agent
// entitles it to send orders. A pause is a time in which the process didn't run
// and didn't notice it.
//
// For engines that check fencing numbers, the numbers suffice. They increase
// from one incarnation to the next without persistent storage, because they are
// composed of the configuration's version and the start time of the process. For
// engines that ignore them, timing provides the safety: an agent sends no order
// without a lease and checks the time just before it sends, and a new agent
// first waits until every order of its predecessor has arrived or been dropped.
//
// One case remains unprotected: an engine that ignores numbers, and a pause
// longer than the bound between the last check of the time and the system call
// that sends.
//
// References: Gray, Cheriton (1989), Leases; Burrows (2006), The Chubby lock
// service, on sequencers; Kleppmann (2016), How to do distributed locking.
package mgfence
