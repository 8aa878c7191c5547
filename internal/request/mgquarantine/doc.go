// Package mgquarantine names requests by what their callers asked for, whichever
// entry they come to.
package mgquarantine
