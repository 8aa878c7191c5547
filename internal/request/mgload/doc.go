// Package mgload decides which of the upstreams that an entry reaches directly takes a
// request, by what all entries have sent to them.
//
// # Problem
//
// A few entries send prompts of thousands of tokens to a dozen engines. Each entry knows
// its own requests only: it sees a fifth of an engine's work, and an engine that runs
// three of the entry's own requests may run nine more of other entries. Prompts that are
// read (prefilled) at the same engine wait for one another, each additional run (a request
// that the engine is working on) slows all that run there, an engine whose memory is too
// small preempts the newest run, and an engine that is reclaimed can hand over six or
// seven runs within the notice that it is given before its end, but not ten.
//
// The engines' own reports are half a second old, so that they lack the prompts sent
// since then, which decide how long a new request waits.
//
// # Decision
//
// Every entry counts what it has sent, by upstream: runs, prompt tokens that have not been
// answered by a first event (the first token of the stream), and memory in tokens. It
// reports these counts five times a second to one entry of the region, the hub, and gets
// the sum of the others' counts in reply: two messages per entry, whatever the number of
// entries. The cost of an upstream is the time that the request waits there and makes
// others wait, in ms. The cheapest upstream takes the request. Without a hub each entry
// uses its own counts only.
//
// The weights of Cost follow from the engines' published speed; see their comments. An engine
// that is known to have another speed (see mgspeed) has weights of its own.
//
// # Terms
//
//   - hub: the entry that collects the reports of a region, or of a part of it.
//   - load: the counts of one upstream.
//   - pace: the time that an upstream takes for each output token, or for a call; a larger
//     pace is slower (a latency, not a throughput).
//   - fault: a request that ended at an upstream without an answer that the upstream
//     itself made.
//   - copy: the memory (KV cache) of a generation, copied to another upstream so that the
//     generation can continue there (migration); also the request for that.
package mgload
