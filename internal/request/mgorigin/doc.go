// Package mgorigin decides where a stream that broke off may continue, and keeps records of
// where streams began, for callers that resume them at another process.
//
// An upstream that continues a stream adds to output that another one produced. Upstreams of
// one service may run several versions of their software at the same time, and what two
// versions produce doesn't fit together. Upstreams don't check this.
//
// # Terms
//
//   - software version: the version of an upstream's software, not of the weights of its
//     model. Versions are compared for equality only.
//   - origin: the service and the software version that produced the first event of a stream.
package mgorigin
