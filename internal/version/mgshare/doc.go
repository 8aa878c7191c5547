// Package mgshare divides an account's caps among the entries of a region.
//
// Caps are leased for a few seconds by the account's home, one of the entries. No
// leader is elected and nothing is stored: the home follows from the list of VMs, and
// the amount that a home may lease follows from the number of witnesses that currently
// vote for it.
//
// # How the sum stays under the cap
//
// Accounts hash to slots. The first five listed entries of a rendezvous ranking are a
// slot's witnesses; its home is the first of them that is not known to be dead or
// leaving. A witness votes for one home at a time, and for the next only when its vote
// for the last has expired. A home with f of k votes leases at most f/k of the cap, in
// leases that end before the votes that they depend on. So two processes that both
// compute themselves as the home, on two sides of a partition, never lease more than
// the cap together. Each entry may use a fixed small part of the cap without a lease,
// which is set aside beforehand.
//
// Heartbeats between all pairs of entries would serve the same purpose for 24 messages
// a second at 120 entries a region; votes cost a few.
//
// Every TTL counts from when a request was sent, on the clock of the sender, and until
// it was answered on the clock of the receiver, so that delay only shortens what is
// granted. A paused process finds its leases and votes expired by its clock, or drops
// them through mgmember's PauseDetector.
//
// # Known bounds
//
//   - A list of VMs that differs between two sides of a partition can differ in
//     a slot's witnesses; the sum may then exceed the cap by the share of the
//     witnesses that differ, until the partition heals.
//   - After a crash of a home its accounts get no new leases for the TTL of a
//     vote, and after a partition has healed less than the cap until the last
//     suspicion and then the last vote for the lesser home have expired: at most 16 s
//     and 46 s. The cost is capacity; the sum stays under the cap.
//   - Streams that run when a lease ends continue; a home counts those reported.
//   - A witness that restarts refuses its vote for the TTL of a vote, because it can't know
//     its earlier votes. After a mass restart leases start after that time.
//
// # Terms
//
//   - lease: a slice of an account's caps, for one entry, for a short time.
//   - home: the entry that leases the caps of a slot's accounts.
//   - witness, vote: an entry whose votes, each valid for a TTL, entitle a home to
//     lease. A request for votes is a RequestVotes call.
//   - demand: what an entry's callers asked for recently.
//
// # References
//
//   - C. Gray, D. Cheriton, Leases: an efficient fault-tolerant mechanism for
//     distributed file cache consistency, SOSP (1989).
//   - D. Gifford, Weighted voting for replicated data, SOSP (1979).
//   - D. Bertsekas, R. Gallager, Data Networks (1992), on max-min fairness.
package mgshare
