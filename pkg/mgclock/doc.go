// Package mgclock is the project's one clock, in milliseconds.
//
// All deadlines, leases and intervals are Millis read from a Clock, so that a
// test replaces time by a Manual clock and gets the same verdict each run.
package mgclock
