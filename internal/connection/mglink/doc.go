// Package mglink sends frames from an agent to an entry and detects silent
// connections.
//
// Terms: an agent is the process next to an engine, an entry is a process that
// accepts callers' requests. A heartbeat is a frame without text that the agent
// writes when it has nothing else to write; silence is a period without any
// frame. A connection that stays silent for a few heartbeat intervals is lost,
// even if the kernel still holds it open: a device between the two ends may have
// dropped its state. The entry resumes reading after the last token on a new
// connection, never on a pooled one, whose state may have been dropped as well.
// For calls, informational responses (102) are the heartbeats.
//
// References: Fielding, Nottingham, Reschke (2022), RFC 9110, section 15.2;
// Gray, Cheriton (1989), Leases, on timeouts for silence.
package mglink
