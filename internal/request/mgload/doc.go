// Package mgload decides which of the upstreams that an entry reaches directly takes a
// request, by what all entries have sent to them.
//
// # Load
//
// A few entries send prompts of thousands of tokens to a dozen engines. Each entry knows
// its own requests only: it sees a fifth of an engine's work, and an engine with three of
// its own may have nine of the others'. Prompts that are read at the same engine wait for
// one another, each additional run slows all that run there, an engine whose memory is too
// small preempts the newest run, and an engine that is reclaimed can hand over six or seven
// runs within its notice but not ten.
//
// The engines' own reports are half a second old, so that the prompts sent since then
// decide.
//
// # Decision
//
// Every entry counts what it has sent, by upstream: runs, prompt tokens that have not been
// answered by a first event, and memory in tokens. It reports these counts five times a
// second to one entry of the region, the hub, and gets the sum of the others' counts in
// reply: two messages per entry, whatever the number of entries. The cost of an upstream is
// the time that the request waits there and makes others wait, in ms. The cheapest upstream
// takes the request. Without a hub each entry uses its own counts only.
//
// The weights of Cost follow from the engines' published speed; see their comments.
//
// # Terms
//
//   - hub: the entry that collects the reports of a region, or of a part of it.
//   - load: the counts of one upstream.
//   - pace: the time that an upstream takes for each token, or for a call.
//   - fault: a request that ended at an upstream without an answer of its own.
package mgload
