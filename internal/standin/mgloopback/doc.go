// Package mgloopback hands out loopback addresses that stay free until they are used.
//
// A port that was found free and released can be taken by another process, or be found
// again by the same one, before the process that was to have it listens. Each process
// reserves IPs of its own in 127.80.0.0/16 instead, and holds them until it ends; ports on
// them are its own.
package mgloopback
