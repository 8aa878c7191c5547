// Package mgpeer authenticates the connections between the system's own
// processes, the peers: by a key that all of them share and, where certificates
// are configured, by mutual TLS.
//
// A process accepts the current and the previous key, so that operators can
// change the key VM by VM without an interruption. Keys are compared in constant
// time.
//
// What answers at a peer's address may be another program. Its responses are
// checked, and those of calls are limited in size.
package mgpeer
