// Package mgproc runs the built binary as processes on loopback, connected by links
// that tests can cut, delay or block. It kills only processes that it started, by
// process id.
package mgproc
