// Package mgplatform is a client of what the platform publishes: values that
// can be read and watched, and the list of VMs among them. Nothing is written.
//
// The service counts each call, a waiting watch as one, and allows about two
// thousand a second over all readers. The client does no retries of its own:
// who may read how often is decided in package mgconfig.
//
// The interface over HTTP:
//
//   - GET /v1/values/{key} answers the value's bytes with its version in the
//     header Version; 404 where there is none.
//   - GET /v1/values/{key}?after=V&wait=MS answers once the version is above V,
//     or 304 after MS milliseconds.
//   - 429 with Retry-After when too many read.
//
// # Terms
//
//   - value: up to a megabyte under a key, with a version that the service
//     raises on each change.
//   - manifest, page-<digest>, vms: the keys in use.
package mgplatform
