// Package mgservice is the client of a plain HTTP service beside the model
// engines.
//
// Some of a service's calls may not be repeated, so a failure is typed by
// what it proves: NotSent, the service can't have run it, or Unknown, it may
// have. There is no third kind, and no call is ever repeated here.
package mgservice
