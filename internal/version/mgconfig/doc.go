// Package mgconfig keeps the operators' table of routes, keys and client accounts in
// force: it finds newer versions, fetches the parts that changed, rejects faulty
// versions and replaces the snapshot as a whole.
//
// Nothing is stored outside of the process and no leader is elected. A Machine
// makes the decisions; it has no clock, goroutine or I/O, so that tests run it in
// virtual time. A Loop carries out the actions that it returns.
//
// # How a version spreads
//
// In each availability zone the first three members of a rendezvous ranking watch the
// platform. A member that adopts a version starts exchanges with a few peers (push), and every member
// exchanges version numbers with one peer at a time every two seconds (anti-entropy).
// Version numbers are attached to all other calls too. A member that learns of a newer
// version fetches the manifest and the pages it lacks by digest, from peers that have
// them or else from the platform. So the number of reads of the platform depends on the
// number of zones, not of members.
//
// # Invariants
//
// A member never goes back: it adopts only what is greater in the order of
// version, then manifest digest. Two manifests under one version can only come
// from a race of two publishers; all members choose the one with the greater digest.
// A faulty version is rejected because of its content alone, so that all members
// reject it; the last good one stays in force.
//
// # A new process
//
// A new process has no stored state. It is ready once all of these hold:
//
//   - It has a table.
//   - Two peers have answered, or one after five seconds.
//   - The platform has answered, or two seconds have passed.
//   - It has the highest version that they reported, or has rejected it.
//
// When the list names other VMs and none answers, the process doesn't become ready: an
// entry that reaches no other process reaches no agent, and an agent that reaches none
// is reached by no entry, so it could serve nobody, and the platform's answer alone may
// be stale. The cost is that a lone survivor whose list still names the dead waits
// until the list drops them. Only where the list names no other process does the
// platform alone suffice. When the platform itself is stale and every process is new,
// no process can detect that, and the stale version is in force until the platform
// catches up.
//
// # The list of many VMs
//
// Where changes of the list of VMs must be known at once (MachineSpec.QuickInterval), one
// process of a region reads it for all others; see longpoll.go. Where the platform
// lists no processes, they learn of one another by gossip; see gossip.go.
//
// # Terms
//
//   - snapshot: a table with its manifest and pages; immutable, only
//     replaced (read-copy-update).
//   - platform: the service outside of this module that stores the table and lists VMs.
//   - page, manifest: a part of the table, identified by its digest; the version and
//     the digests of all its pages.
//   - member: a process that takes part in the exchanges; its peers are the others.
//   - exchange: compare versions with a peer, in both directions.
//   - push: start exchanges with a few random peers after the own state has changed.
//   - pull: the fetching of a newer table, from peers or the platform.
//   - watcher: a member that watches the platform for its zone (watchersPerZone).
//     The watchers of a cell are its first watchersPerCell processes: fresh reports
//     postpone the watches of the table of all processes but these.
//   - cell: a part of a region's processes that share a hub.
//   - reader: the process that reads the list for a region.
//   - hub: the process of a cell that long-polls the reader, and which the
//     other processes of the cell long-poll.
//   - report: the versions that a process has, and how long ago the platform confirmed
//     its list, either to that process itself or to another one whose report it passes
//     on.
//   - poll, as opposed to long poll: the rare read of a member that is no watcher, in
//     case its zone's watchers are all dead or cut off. In longpoll.go, to poll is to
//     long-poll.
//   - notice: an upstream's announcement that it leaves; with a duration (a notice of 1.5 s),
//     the time from there to its end.
//   - cordon: an operator's order that an availability zone gets no new work.
//
// # References
//
//   - A. Demers and others, Epidemic algorithms for replicated database
//     maintenance, PODC (1987).
//   - R. Karp, C. Schindelhauer, S. Shenker, B. Vöcking, Randomized rumor
//     spreading, FOCS (2000).
//   - P. McKenney, J. Slingwine, Read-copy update: using execution history to
//     solve concurrency problems, PDCS (1998).
//   - M. Brooker, Exponential backoff and jitter, AWS Architecture Blog (2015).
package mgconfig
