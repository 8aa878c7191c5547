// Package mgorigin decides where a stream that broke off may continue, and keeps records of
// where streams began, for callers that resume them at another process.
//
// An upstream that continues a stream adds to output that another one produced. Upstreams of
// one service may run several versions of their software at the same time, and what two
// versions produce doesn't fit together. Upstreams don't check this, so a stream continues
// only where it is known to fit; see Origin.Accepts.
//
// # Records
//
// The caller of a stream that broke off may resume it at any process, and the one that relayed
// it may have ended. Each process therefore replicates the records of its own streams to some
// others. It announces the origin of a request when it sends the request to an upstream, so
// that replication takes place while the prompt is read, and waits for a replica's
// acknowledgement, if there is none yet, before it forwards the first event. A process that is
// asked to resume a stream without a record of it asks all others.
//
// A record is replaced if the request was sent to a second upstream, of another version,
// because the first produced no event. The first event is then forwarded only once the
// replicas have the new record. If the answers of two replicas differ nevertheless, the origin
// is unknown.
//
// Records expire with the time that the caller has for the stream.
//
// # Terms
//
//   - software version: the version of an upstream's software, not of the weights of its
//     model. Versions are compared for equality only.
//   - origin: the service and the software version that produced the first event of a stream.
//   - key: identifies a stream, by its client account and the id of the request that brought
//     its first event.
//   - announce: record the origin of a stream of this process, and replicate the record.
//   - replica: a process that keeps copies of another one's records.
package mgorigin
