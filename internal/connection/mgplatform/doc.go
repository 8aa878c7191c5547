// Package mgplatform is a read-only client of the platform's configuration
// service, which publishes values that can be read and watched, such as the list
// of VMs.
//
// The service counts each call, a waiting watch as one, and allows about two
// thousand per second over all readers. The client doesn't retry: package mgconfig
// decides which process may read how often.
//
// The interface over HTTP:
//
//   - GET /v1/values/{key} returns the value's bytes with its version in the
//     header Version, or 404 when there is none.
//   - GET /v1/values/{key}?after=V&wait=MS is a long poll: it returns when the
//     version is above V, or 304 after MS milliseconds.
//   - 429 with Retry-After when there are too many calls.
//
// # Terms
//
//   - value: up to a megabyte under a key, with a version that the service
//     increases on each change.
//   - manifest, page-<digest>, vms: the keys in use.
//   - cordon: an operator's request that a zone's upstreams get no new work.
package mgplatform
