// Package mgrouting decides which upstreams an entry queries for a request, and
// which of their offers it accepts.
//
// # Problem
//
// Prompts that share a prefix are cheap where the prefix is cached and
// expensive elsewhere; a few prefixes make up most of the load; and many
// entries decide at the same time on outdated numbers. Without affinity each
// upstream computes each prefix; with affinity alone the upstream of a popular
// prefix is overloaded; and if all entries send to the upstream that was least
// loaded a moment ago, it is the most loaded one a moment later, and then the
// next one is.
//
// # Candidates
//
// The first candidate is the one with the highest hash of upstream and prefix
// among the model's live upstreams in the region (rendezvous hashing, Thaler
// and Ravishankar 1998): when an upstream leaves, only its prefixes move. An
// upstream that has more than MaxLoadFactor times the average of this entry's
// requests in flight is skipped (consistent hashing with bounded loads,
// Mirrokni, Thorup and Zadimoghaddam 2018). The others are random, preferably
// from the zone; the last one is from the whole region, so that a request can
// leave an overloaded zone.
//
// # Choice
//
// Offers are compared by what the request costs in time: the expected first
// token, which includes the queue and the uncached part of the prompt; the time
// that the following tokens take; the delay that its prompt puts on the streams
// that run there; the expected preemptions where memory is short; the distance.
// What this entry sent since the offer was made is added. With few random
// candidates per request, entries that see the same numbers still spread (the
// power of two choices, Mitzenmacher 2001; with old information, Mitzenmacher
// 2000).
//
// A Fleet is immutable except for its atomic counters and is read by many
// goroutines; a new list of VMs makes a new Fleet.
package mgrouting
