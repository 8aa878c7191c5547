// Package mgroom decides which generation gets the next free memory of a
// service's upstreams, and where.
//
// # Load
//
// Two dozen entries send prompts of 3,000 tokens, 58 a second, to 44 engines that
// come and go. What they know of one another's requests is up to 0.2 s old, in
// which a dozen are sent: all of them to the engine that looked empty, where each
// waits for the prompts of the others while engines beside it have nothing to do.
// Of the requests of such a day half waited for more than 0.5 s at their engine
// beyond the reading of their own prompt, with half of all memory free. At times
// the memory is all but full as well, and requests wait in the line of one engine
// while another has room a moment later. On the heaviest days there is memory and prompts
// wait for one another at every engine, for over a second in the mean, so that all
// requests begin late where most could have been on time.
//
// # Decision
//
// One entry of the region gives all places: it knows what it gave a moment ago,
// and what all entries have sent. The cheapest upstream of those with room takes
// a request, where room is memory for it and a prompt at most that is read before
// its own. Where none has room they wait: those that can still be on time go
// first, the smallest by memory and time first, where a request of an account that
// has had more than twice an equal share of the memory lately counts four times as
// large; then those that are late, first come first served. One that fits nowhere lets a few smaller ones pass, or the
// largest would hold up all.
//
// It decides nothing that must be right: without an answer an entry sends its
// request where it would have sent it before.
package mgroom
