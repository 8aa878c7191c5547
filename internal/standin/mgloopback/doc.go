// Package mgloopback hands out loopback addresses that stay free until they are used.
//
// A port that was found free and released can be taken by another process, or handed
// out again by the same one, before its intended user listens on it. Instead, each
// process reserves IPs of its own in 127.80.0.0/16 until it ends, and hands out ports
// on them.
package mgloopback
