// Package mgstandin holds stand-ins for what the system is built against: a
// model engine, a plain service and the platform. Demos and tests run them on
// loopback; each counts what it did, so that a check can compare what callers
// got with what was generated, run and read.
//
// Each stand-in is an http.Handler. Besides its interface it has, under
// /standin/, its switches and counters: POST fault takes a Fault, GET counts
// tells the counters; the platform takes POST put?key=K with a value and POST
// table with a table. The same are methods.
//
// The interfaces are those of packages mgengine, mgservice and mgplatform.
package mgstandin
