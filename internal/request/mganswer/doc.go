// Package mganswer names answers, so that a caller resumes one through any
// entry.
//
// Terms: an answer is what a caller receives; a generation is one run of a
// model for it; an incarnation is one life of an agent. The answer's name holds
// the agent, its incarnation and the generation, and is sealed to the client
// account. An SSE event's id is the name and the number of the event's last
// token (WHATWG 2024, HTML, "Server-sent events"), and comes back as
// Last-Event-ID.
package mganswer
