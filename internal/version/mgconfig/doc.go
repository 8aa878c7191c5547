// Package mgconfig keeps the operators' table in force: it finds newer
// versions, fetches what changed, refuses what is faulty and replaces the
// snapshot as a whole.
//
// Nothing is written outside of the process and nobody is elected. A Machine
// decides; it has no clock, no goroutine and no I/O, so that tests drive it in
// virtual time. A Loop carries out what it decides.
//
// # How a version spreads
//
// In each availability zone the first three members of a rendezvous ranking
// watch the platform. Whoever adopts a version tells a few peers, and every
// member exchanges version numbers with one peer at a time every two seconds
// (anti-entropy). Version numbers ride on all other calls too. Whoever hears of
// a newer version fetches the pages it lacks by digest, from those that have
// them and else from the platform. So the platform's reads depend on the number
// of zones, not of members.
//
// # What never happens
//
// A member never goes back: it adopts only what is greater in the order of
// version, then manifest digest. Two manifests under one version can only come
// from a race of two publishers; the digest settles it alike everywhere. A
// faulty version is refused by its content alone, so that all refuse it alike;
// the last good one stays in force.
//
// # A new process
//
// A new process has no disk. It is ready once it has a table, has heard from two
// peers (one after five seconds) and has had the platform's answer or two
// seconds for it, and has caught up with the highest version among them. When
// the list names other VMs and none answers, it doesn't become ready: a process
// that reaches no other process reaches no agent, or as an agent is reached by no
// entry, so it could serve nobody, and the platform's answer alone may be stale.
// What is given up: a lone survivor whose list still names the dead waits until
// the list drops them. Only where the list names nobody else does the platform
// alone suffice. When the platform itself is stale and every process is new,
// nobody knows better and the stale version is in force until the platform
// catches up.
//
// # The list of many VMs
//
// Where changes of the list of VMs must be known at once (MachineSpec.Quick), one
// process of a region reads it for all, as listen.go says. Where the platform lists no
// processes, they tell one another of those that they heard, as gossip.go says.
//
// # Terms
//
//   - snapshot: a table with its manifest and pages; never changed, only
//     replaced (read-copy-update).
//   - push, exchange: tell a peer of a new version; compare versions with one.
//   - watcher: a member that watches the platform for its zone.
//   - reader, hub: the process that reads the list for a region; the one of a cell
//     that listens at the reader, and at which the cell listens.
//   - word: which versions a process has, and how long ago the platform confirmed
//     its list, to it or to whom it heard it from.
//   - poll: the rare read of a member that is no watcher, in case its zone's
//     watchers are all dead or cut off.
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
