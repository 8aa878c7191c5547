// Package mgpeer authenticates the connections between the system's own
// processes, the peers: by a key that all of them share and, where certificates
// are configured, by mutual TLS.
//
// A process accepts the current and the previous key, so that operators can
// change the key VM by VM without an interruption. Keys are compared in constant
// time.
package mgpeer
