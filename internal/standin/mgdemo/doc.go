// Package mgdemo runs a whole deployment in one process over loopback TCP: the same
// entries and agents as in separate processes, and stand-ins for the engines, the
// plain services and the platform.
//
// Play sends a mixed load of both sample accounts, Tankline and the Cooperativa, kills
// an engine and an entry without notice while it runs, and checks each answer against
// what the stand-ins generated and executed.
package mgdemo
