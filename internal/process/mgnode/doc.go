// Package mgnode runs an entry or an agent as a process. It holds what both have
// in common: listeners, the operators' page, the configuration in force, the list
// of VMs, the calls between processes, and the drain.
//
// # Drain
//
// A planned stop interrupts no request. Its steps are:
//
//  1. The process reports that it is not ready.
//  2. After a notice delay, in which the balancer and the peers switch to other
//     processes, it refuses new work.
//  3. It waits until the work in progress has ended.
//  4. Each listener answers the requests that have reached it, and closes.
//
// A second signal, or the end of the maximum drain duration, ends the drain at
// once.
//
// # Terms
//
//   - cell: the part of a region's processes that share a hub.
//   - hub: the process of a cell that sums the loads which the cell's entries
//     report, and assigns placements and permits for all of them.
//   - platform: the service from which processes read and watch the table and the list
//     of VMs; see mgplatform.
//   - table: the operators' configuration in force; see mgtable.
//   - generation: the work of an upstream for one streamed response. Messages and logs
//     call it a run.
//   - placement: memory reserved at an upstream for one generation.
//   - permit: the right to send one request to an upstream whose responses announce a
//     rate limit; the code calls that naming the limit. A granter is a process that
//     grants permits: the hub of a cell. An upstream has several granters if several
//     cells send to it.
//   - migration slot: the right to copy one generation away from its engine. Only
//     one copy at a time uses an engine's link.
//   - coordinator: the process of a cell that grants a service's migration slots.
//   - caps: an account's maximum rate in tokens per second and maximum number of
//     concurrent streams.
//   - home: the entry that leases parts of an account's caps to the others. It
//     follows from the list of VMs, and differs between accounts. A witness is an entry
//     that votes for one home at a time. A home that has the votes of f of its k
//     witnesses leases out at most f/k of the caps; see mgshare.
//   - quarantine: a request that has crashed several upstreams is held back. Such a
//     request is called held, also a suspect. A long poll is held in the other sense:
//     its response is delayed.
//   - pause: the process didn't run for a while, so that its leases may have expired;
//     see mgmember.PauseDetector.
//   - name of a response: the identifier by which a caller resumes it; see mgseal.
//   - cordoned zone: an availability zone that gets no new work.
//   - incarnation: one run of a process under its VM's name.
package mgnode
