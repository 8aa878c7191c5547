// Package mgclock provides the clock of all other packages, in milliseconds.
//
// All deadlines, leases and intervals are Millis read from a Clock, so that a
// test can replace it by a Manual clock and get the same result in each run.
package mgclock
