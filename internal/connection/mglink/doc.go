// Package mglink carries frames from an agent to an entry, and notices when
// a connection has gone silent.
//
// Terms: a heartbeat is a frame without text that the agent writes when it has
// nothing else to write; silence is a span without any frame. A connection that
// stays silent for a few heartbeats is lost, even if the system still holds it
// open: something between the two ends may have forgotten it. Reading goes on
// from the last token on a new connection, never on one from a pool, which may
// have been forgotten as well. For calls, informational responses (102) are the
// heartbeats.
//
// References: Fielding, Nottingham, Reschke (2022), RFC 9110, section 15.2;
// Gray, Cheriton (1989), Leases, on bounds of silence.
package mglink
