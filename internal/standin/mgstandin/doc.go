// Package mgstandin holds stand-ins for what the system is built against: a
// model engine, a plain service and the platform. Demos and tests run them on
// loopback; each counts what it did, so that a check can compare what callers
// got with what was generated, run and read.
//
// Each stand-in is an http.Handler. Besides its interface it has, under
// /standin/, its switches and counters: POST fault takes a Fault, GET counts
// tells the counters, and the platform takes POST put. The same are methods.
//
// The platform's interface:
//
//   - GET /v1/values/{key} answers the value's bytes, its version in the
//     header Version; 404 where there is none.
//   - GET /v1/values/{key}?after=V&wait=MS answers once the version is above
//     V, or 304 after MS milliseconds.
//   - Over the rate of reads it answers 429 with Retry-After.
//   - The key "vms" holds the list of VMs, which shows its changes late.
//
// The interfaces of engine and service are those of packages mgengine and
// mgservice.
package mgstandin
