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
//
// A Conn also limits the time in which a request arrives and in which an answer is read
// (Timeouts). Its user may set deadlines as on any connection; removing one leaves these
// limits in force. AbortRequest ends a request that is still arriving. A request that is
// answered before it has arrived leaves bytes unread, with which a close would reset the
// connection; Close then lingers until the peer has read the answer.
package mglistener
