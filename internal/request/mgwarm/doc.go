// Package mgwarm limits the requests per second that are sent to cold
// upstreams.
//
// # Problem
//
// An upstream that has just started, or lost what it had in memory, can serve a
// few requests a second for a while and crashes well above that. It is also the
// least loaded of all, so everything that waits is sent there: when an
// availability zone with a third of the upstreams comes back at once while the
// queue is full, or one upstream is left of many, hundreds of processes send
// what they have at the same moment.
//
// # Decision
//
// Processes that grant placements count those that they granted and limit them
// per second. A process that sends without a placement, because no process
// grants it one or its service has no placements, gets a turn at each cold
// upstream now and then. Turns recur at a fixed interval with a pseudorandom
// phase for each process and upstream, and last a second, so that waiting
// processes don't send in a burst; together they amount to a fraction of the
// rate. Up to minProcesses processes this holds whatever number of processes
// each of them knows, because at least minProcesses are assumed. With more
// processes it holds only if each of them knows their number.
//
// # Terms
//
//   - placement: memory reserved for a request at an upstream.
//   - rate: the requests per second that a cold upstream can serve, by the
//     table of services (mgtable).
//   - turn: the time slot in which a process may send one request to a cold
//     upstream.
package mgwarm
