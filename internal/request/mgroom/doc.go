// Package mgroom decides which request gets the next free memory of a service's
// upstreams, and where, when all of it is nearly taken.
//
// # Load
//
// A deployment whose generations take 95 % of its engines' memory, at times more:
// engines come and go, prompts of 3,000 tokens arrive two dozen a second, and each
// stays for seven seconds. A request that is sent to a full engine waits there,
// in that engine's line, while another has room a moment later; and it waits
// behind whatever came before, also behind what can no longer be on time.
//
// # Decision
//
// Requests wait with one entry of the region, which knows what all entries have
// sent. Those that can still be on time go first, the smallest by memory and
// time first; then those that are late, first come first served. A request that
// fits nowhere lets a few smaller ones pass, or the largest would hold up all.
// The cheapest upstream of those with room takes it.
//
// It decides nothing that must be right: without an answer an entry sends its
// request where it would have sent it before.
package mgroom
