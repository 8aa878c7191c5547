// Package mgengine is the client of a model engine: starts, token streams,
// cancels, load reports, cache events and orders.
//
// A Client's function fields are the seams: NewHTTP speaks the protocol of
// the engine stand-in, and an engine with another protocol plugs in by
// NewClient. Decisions never see which.
//
// Starting is idempotent by the generation's id, so a start whose outcome is
// unknown may be sent again to the same engine. Its errors tell a generation
// that certainly doesn't run from one that may.
package mgengine
