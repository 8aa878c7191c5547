// Package mgfence keeps an agent from giving its engine an order of a past life.
//
// Terms: a fencing number goes with each order, and an engine that checks it
// refuses an order with a lower number than it has seen. An order lease is the
// span for which evidence that this agent is the engine's own lets it give
// orders. A pause is a span in which the process didn't run and didn't know.
//
// For engines that check, the numbers do the work. They rise from one
// incarnation to the next without a disk, since they are made of the
// configuration's version and the time the process started. For engines that
// ignore them, time does it: an agent gives no order without a lease, looks at
// the clock just before it sends, and a new agent first waits until any order of
// its predecessor has arrived or been dropped.
//
// What is left open: on an engine that ignores numbers, a pause longer than the
// bound between the last look at the clock and the system call that sends.
//
// References: Gray, Cheriton (1989), Leases; Burrows (2006), The Chubby lock
// service, on sequencers; Kleppmann (2016), How to do distributed locking.
package mgfence
