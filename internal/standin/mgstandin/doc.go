// Package mgstandin provides stand-ins for the external parts of the system: a model
// engine, a plain service and the platform. Demos and tests run them on loopback. Each
// one counts what it did, so that a check can compare what callers received with what
// was generated, executed and read.
//
// Each stand-in is an http.Handler. Besides its own interface it serves switches and
// counters under /standin/: POST fault sets a Fault and GET counts returns the
// counters. The platform also serves POST put?key=K, which publishes a value, and POST
// table, which publishes a table. All of these are also methods.
//
// The interfaces are those of packages mgengine, mgservice and mgplatform.
//
// Terms:
//
//   - switch: an endpoint that sets the fault a stand-in simulates.
//   - lag: the age of a load report or of the list of VMs when it is served.
//   - notice: the time that a leaving engine still runs.
//   - fencing number: the number that orders carry. It grows with each agent that
//     takes over an engine. A fenced engine refuses orders with a number lower than
//     one it has seen.
package mgstandin
