// Package mgdemo runs a whole deployment in one process over loopback TCP:
// entries and agents as they run alone, and stand-ins of the engines, the plain
// services and the platform.
//
// Play sends a mixed load of both users, Tankline and the Cooperativa, ends an
// engine and an entry without notice while it runs, and checks each answer
// against what the stand-ins generated and ran.
package mgdemo
