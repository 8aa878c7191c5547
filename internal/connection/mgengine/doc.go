// Package mgengine is the client of a model engine: starts, token streams,
// cancels, load reports, cache events and orders.
//
// A Client is independent of the engine's protocol: NewHTTP implements the
// protocol of the simulated engine of the tests, and NewClient accepts the calls
// of another protocol. The code that selects engines never sees which one is used.
//
// Starting is idempotent by the generation's id, so a start whose outcome is
// unknown may be sent again to the same engine. The errors of a start distinguish
// a generation that certainly doesn't run from one that may.
package mgengine
