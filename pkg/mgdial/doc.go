// Package mgdial makes HTTP requests whose errors specify whether the server may
// have received the request.
//
// Each request opens its own connection. A pooled connection may be dead without
// an indication, for example when a middlebox dropped its state; a request
// written to it waits for its whole timeout, and net/http repeats some requests
// by itself when a reused connection breaks. Neither can happen on a new
// connection, and a failure to connect proves that nothing was written.
//
// The package also decides whether bytes are a response, and how it ended, for all
// readers of its clients: a malformed head or trailer is a *MalformedError, and a
// connection that was reset while the request was being written, or closed by a
// server that doesn't read on, doesn't end like one that was closed in order.
// CheckResponses does a part of that for transports with pools.
package mgdial
