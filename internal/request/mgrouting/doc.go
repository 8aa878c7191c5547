// Package mgrouting decides which upstreams an entry asks about a request, and
// which of their offers it takes.
//
// # Load
//
// Prompts that share a prefix are cheap where the prefix is cached and dear
// elsewhere; a few prefixes take most of the load; and many entries decide at
// the same time on numbers that lag. Without affinity each upstream computes
// each prefix; with affinity alone the upstream of a popular prefix is
// overloaded; and when all entries send to the upstream that looked idlest a
// moment ago, it is the busiest a moment later, and then the next one is.
//
// # Candidates
//
// The first candidate is the highest of the model's live upstreams in the
// region by a hash of upstream and prefix (rendezvous hashing, Thaler and
// Ravishankar 1998): when one leaves, only its prefixes move. An upstream that
// has more than Spread times the average of this entry's requests in flight is
// passed over (consistent hashing with bounded loads, Mirrokni, Thorup and
// Zadimoghaddam 2018). The others are random, in the zone first; the last one
// comes from the whole region, so that a request can leave a crowded zone.
//
// # Choice
//
// Offers are compared by what the request costs in time: the expected first
// token, which includes the queue and the uncached part of the prompt; the pace
// of the tokens after it; the delay that its prompt puts on the streams that run
// there; the preemptions that it risks where memory is short; the distance. What
// this entry sent since the offer was made is added to it. With few random
// candidates per request, entries that see the same numbers still spread (the
// power of two choices, Mitzenmacher 2001; with old information, Mitzenmacher
// 2000).
//
// A Fleet is immutable but for its atomic counters and is read by many
// goroutines; a new list of VMs makes a new Fleet.
package mgrouting
