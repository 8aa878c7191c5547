// Package mglistener provides a TCP listener that shuts down without resetting
// connections.
//
// Closing a listening socket resets the connections that the kernel has established and
// the process has not accepted yet; their peers may have sent requests already. A
// Listener shuts down in three steps: the kernel drops connection requests (SYN segments)
// while handshakes in progress are completed, the accept queue is emptied, the socket is
// closed. A peer whose connection request was dropped repeats it and is then refused, so
// that it knows that nothing was sent.
//
// An accepted connection (Conn) can be ended between two requests. A request that has
// arrived by then is read, whether or not the process had run to read it.
package mglistener
