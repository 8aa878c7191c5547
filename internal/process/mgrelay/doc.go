// Package mgrelay passes callers' requests through to upstreams unchanged, and
// the answers back, by the routes of the table.
//
// Method, path, query and body go through byte by byte. A Form names the
// headers in which a deployment carries what the system reads and sets: the
// request's id, its deadline, the account, the upstream that is meant, the
// upstream's word that a request did not run.
//
// # What is promised
//
//   - A request that may not be repeated goes to a second upstream only when the
//     first has said that it did not run, or when no connection was made.
//   - A caller is told "not run" only then, too.
//   - An answer that breaks off upstream breaks off at the caller. It never
//     looks whole.
//   - An answer that names another request is nobody's: its connection is
//     closed, and the request counts as failed.
//   - An upstream is told how long the caller still waits. When the caller
//     leaves, the upstream's connection is closed.
//
// Each send has a connection of its own (see mgdial). Bytes that an upstream
// sends beyond an answer, or too late, have no other request to reach, and a
// connection that has gone silent costs one request at most.
//
// # Terms
//
//   - attempt: one send of a request to one upstream.
//   - refused: the upstream's word that an attempt did not run.
//   - garbled: an answer without the upstream's signature, or for another
//     request.
package mgrelay
