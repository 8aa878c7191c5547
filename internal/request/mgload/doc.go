// Package mgload decides which upstream of those that an entry reaches directly
// takes a request, by what all entries have sent there.
//
// # Load
//
// A few entries send prompts of thousands of tokens to a dozen engines. Each
// knows its own requests only: it sees a fifth of an engine's work, and an
// engine with three of its own may have nine of the others'. Prompts that are
// read at the same engine wait for one another, a run more slows all that run
// there, a memory that is too small preempts the newest run, and an engine that
// is reclaimed can hand over six or seven runs within its notice but not ten.
//
// What engines report of themselves is half a second old, and the prompts that
// were sent since are what decides.
//
// # Decision
//
// Every entry counts what it has sent by upstream: runs, prompt tokens that
// have not been answered by a first event, memory in tokens. It tells one entry
// of the region, the hub, five times a second, and gets the sum of the others'
// back: two messages an entry, whatever their number. The cost of an upstream is
// the time that the request waits there and makes others wait, in ms; the
// cheapest takes it. Without a hub each goes by its own count, as before.
//
// Cost's weights follow the engines' published pace: see their comments.
package mgload
