// Package mgpeer secures the connections between the system's own processes:
// a key that all of them share and, where certificates are set, mutual TLS.
//
// A process accepts the present key and the one before, so that operators can
// change the key VM by VM without a pause. Keys are compared in constant time.
package mgpeer
