// Package mgservice is the client of a plain HTTP service, as opposed to a model
// engine.
//
// Some calls of a service may not be repeated, so each failure has one of two
// kinds: NotSent, the service can't have run the call, or Unknown, it may have.
// This package never repeats a call.
package mgservice
