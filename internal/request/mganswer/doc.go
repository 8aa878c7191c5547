// Package mganswer names answers, so that a caller can resume one through any
// entry.
//
// Terms: an answer is what a caller receives; a generation is one run of a
// model for it; an incarnation is one process lifetime of an agent. The
// answer's name contains the agent, its incarnation and the generation, and is
// signed for the client account, so that no other account can use it. An SSE
// event's ID is the name and the number of the event's last token (WHATWG 2024,
// HTML, "Server-sent events"), and comes back as Last-Event-ID.
package mganswer
