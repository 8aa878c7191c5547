// Package mgrelay is the reverse proxy of an entry: it forwards callers' requests to
// upstreams unchanged, and the answers back, along the routes of the table (see
// mgtable): the operators' configuration of accounts, services, models, upstreams and
// routes.
//
// Method, path, query and body are forwarded byte for byte. HeaderNames names the headers
// in which a deployment carries what the proxy reads and sets: the request's id, its
// deadline, the account, the intended upstream, and the upstream's statement that a
// request did not run.
//
// # Guarantees
//
//   - A request that must not be repeated is sent to a second upstream only if the
//     first stated that it did not run, or if no connection was made.
//   - The caller gets "not run" only if the request was sent to no upstream, or if
//     each attempt ended in one of these two ways: the upstream stated that the
//     request did not run, or no connection was made.
//   - An answer that breaks off upstream breaks off at the caller. It never
//     appears complete, and the caller's answer states no end that the upstream's
//     doesn't state (see endingOf).
//   - An answer that names another request is discarded: its connection is
//     closed, and the request counts as failed.
//   - An upstream receives the time for which the caller still waits. When the
//     caller disconnects, the connection to the upstream is closed.
//
// Each attempt has a connection of its own (see mgdial). Bytes that an upstream
// sends after the end of an answer, or too late, can't reach another request, and a
// connection that has gone silent costs at most one request.
//
// # Terms
//
//   - upstream: a server to which requests are forwarded. The code also calls it host.
//   - list: the upstreams, as last reported by the platform. It is stale while the
//     platform can't be reached.
//   - attempt: one send of a request to one upstream.
//   - refused: the upstream stated that an attempt did not run.
//   - garbled: a mismatched answer, one that can't be attributed to the upstream and
//     the request: without the upstream's signature, with an encoding that nobody
//     asked for, or for another request. Its bytes needn't be corrupted.
//   - engine: an upstream that produces generations.
//   - notice: an engine's announcement that it is leaving, one to two seconds before
//     it is reclaimed.
//   - cut: broken off (interrupted) before the end.
//   - step: one iteration of an engine, which produces the next token of each of its
//     generations.
//   - generation: a streamed answer that an upstream is producing for a caller.
//   - memory of a generation: what its engine stores per token of prompt and output
//     (the KV cache). It is counted in tokens.
//   - copy: the memory of a generation, copied from the upstream that runs it to
//     another one, so that the generation can continue there.
//   - backup: a copy that grows while the generation runs, at an upstream that its request
//     names (see mgbackup). The upstream that sends it is the source.
//   - placement: memory that is reserved at an upstream for a generation. The
//     entries choose one process that assigns the placements of a service.
//   - migration slot: the permission to move a generation away from an upstream
//     that leaves.
//   - backoff: the time during which an upstream that sent Retry-After gets no
//     requests from this process.
//   - cold: an upstream that started a short time ago and can handle only few
//     requests yet (see mgwarm).
//   - turn: the time slot in which a process may send one request without a placement
//     to a cold upstream (see mgwarm).
//   - pace: how slow an upstream is: ms per token of a stream, ms per request
//     otherwise. A higher pace means a slower upstream.
//   - home: a region in which a request may run. A request may have
//     several.
//   - permit: the permission to send one request to an upstream that has announced
//     a rate limit. All entries together give at most as many as it allows.
//   - cordon: operators keep new work away from an availability zone.
//   - quarantine: the refusal, for a time, of requests under which upstreams crashed,
//     that is while the upstream was about to begin the request or had just begun it.
//     Such requests are called held: they are refused at once and don't wait.
package mgrelay
