// Package mgproc runs the built binary as processes on loopback, with links
// between them that can be harmed from outside. It ends only what it started, by
// process id.
package mgproc
