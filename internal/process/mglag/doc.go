// Package mglag measures how long events wait until a process handles them: in the kernel,
// in the runtime's poller, and among runnable goroutines.
//
// A timer doesn't show this. The runtime runs expired timers before other goroutines, so
// that a timer is on time while network events wait for seconds. A Meter therefore sends
// a byte to itself through a pipe, which takes the way of all network events.
package mglag
