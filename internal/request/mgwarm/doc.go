// Package mgwarm bounds how many requests a second cold upstreams are sent.
//
// # Load
//
// An upstream that has just started, or lost what it had in memory, bears a few
// requests a second for a while and crashes well above that. It is also the emptiest
// of all, so that everything that waits goes there: when an availability zone with a
// third of the upstreams comes back at once beside a full line, or one upstream is left
// of many, hundreds of processes send what they have in the same moment.
//
// # Decision
//
// The processes that give places count what they gave. A process that sends without a
// place, as nobody gives it one or its service has no places, has a turn at each cold
// upstream now and then. Turns come at fixed intervals, whose start is drawn for each
// process and upstream, and last a second, so that they don't add up to a burst of
// those who waited; they sum to a part of the rate whatever processes believe of one
// another.
//
// # Terms
//
//   - rate: the requests a second that a cold upstream bears, by the table.
//   - turn: the time in which a process may send one request to a cold upstream.
package mgwarm
