// Package mglistener accepts connections and stops without losing any.
//
// Closing a listening socket resets the connections that the kernel has completed and the
// process has not accepted yet; their peers may have sent requests already. A Listener
// stops in three steps: the kernel drops connection requests (SYN segments) while
// handshakes in progress are completed, the accept queue is emptied, the socket is closed.
// A peer whose connection request was dropped repeats it and is refused then, so that it
// knows that nothing was sent.
package mglistener
