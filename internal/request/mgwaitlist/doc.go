// Package mgwaitlist keeps the waiting list of a service's requests. It decides which
// generation gets the next free memory of the service's upstreams, and at which upstream.
//
// # Problem
//
// Two dozen entries send prompts of 3,000 tokens, 58 a second, to 44 engines that join and
// leave. What the entries know of one another's requests is up to 0.2 s old, in which a
// dozen requests are sent. If each entry decides alone, all of these go to the engine that
// looked empty, where each waits for the prompts of the others while engines beside it are
// idle. On a day with this load half of the requests waited at their engine for more than
// 0.5 s beyond the prefill (the reading) of their own prompt, with half of all memory
// free.
//
// At times the memory is almost full as well, and requests wait in the queue of one engine
// while another has free memory a moment later. On the heaviest days there is memory, but
// prompts wait for one another at every engine, for over a second in the mean, so that all
// requests begin late although most could have been on time.
//
// # Decision
//
// One entry of the region grants all placements, since it knows its own recent grants and
// what all entries have sent. A request goes to the cheapest upstream that can take it:
// one with free memory for it, and at most one prompt to prefill before its own. Requests
// for which there is none wait. The waiting list has this order:
//
//   - first those that can still be on time, the smallest product of memory and duration
//     first. The requests of an account that has recently had more than twice an equal
//     share of the memory are sorted as if that product were four times as large;
//   - then those that are late, first come first served.
//
// Up to four requests that can't be placed may be overtaken by later ones, since otherwise
// the largest request would block all others.
//
// # Admission
//
// With EnableAdmission, the list does more while requests wait. It measures which capacity
// is scarce, memory or prefill time, and orders by the one that is: the order above serves
// few where prompts bind, since it counts memory only. A request that won't get a place in
// time by the forecast (see mgforecast) is refused at once, with a time at which others don't
// come back too; without that, it would wait for three times as long as an answer may take to
// begin, and take the capacity of one that could have been on time. Sizes that are served much
// less often than others go first, since either order would starve the largest. The load that
// this answers is a wave of callers that lasts for seconds, or engines that leave under it: up to
// three times what the engines bear.
//
// Correctness doesn't depend on these decisions: without an answer an entry chooses an
// upstream on its own.
//
// # Terms
//
//   - place, placement: memory at an upstream that is reserved for a generation. The type
//     Place isn't such a reservation: it is the reported state of an upstream that has
//     such memory.
//   - grant: the decision on a request that ends its wait. It gives the request its place,
//     or gives the request up: then the caller is refused, with the time after which to
//     retry.
//   - cold: describes an upstream that has just started and takes few requests a second.
//   - permit: a token that allows sending one request to an upstream with a rate limit.
package mgwaitlist
