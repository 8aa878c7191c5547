// Package mgshare divides an account's caps among the entries of a region.
//
// Caps are leased for a few seconds by the account's home, one of the entries.
// Nobody is elected and nothing is stored: who is home follows from the list of
// VMs, and what a home may hand out follows from how many of a few witnesses
// stand by it at present.
//
// # How the sum stays under the cap
//
// Accounts hash to slots. The first five listed entries of a rendezvous ranking
// are a slot's witnesses; its home is the first of them that is not known to be
// dead or leaving. A witness stands by one home at a time and by the next only
// when its word to the last has run out. A home with f of k witnesses hands out
// at most f/k of the cap, in leases that end before the words that carry them.
// So two homes that believe in themselves, on two sides of a partition, hand out
// no more than the cap together. Each entry may use a fixed small part of the
// cap without a lease, which is set aside beforehand.
//
// A heartbeat of every entry with every other would carry the same at 120 entries
// a region, for 24 messages a second; witnesses cost a few.
//
// Every span counts from when a request was sent, on the clock of whoever sent
// it, and to when it was answered on the clock of whoever answers, so that delay
// only shortens what is granted. A paused process finds its leases and words run
// out by its clock, or drops them through mgmember's Pause.
//
// # Known bounds
//
//   - A list of VMs that differs between two sides of a partition can differ in
//     a slot's witnesses; the sum may then exceed the cap by the share of the
//     witnesses that differ, until the heal.
//   - After a crash of a home its accounts have no new leases for the life of a
//     word, and after the heal of a partition less than the cap until the last
//     suspicion and then the last word to the lesser home have run out: 16 s and
//     46 s at most. What is given up is capacity, not the bound.
//   - Streams that run when a lease ends run on; a home counts those reported.
//   - A witness that restarts says no for the length of a word, as it can't know
//     what it promised. After a mass restart leases begin after that span.
//
// # Terms
//
//   - lease: a slice of an account's caps, for one entry, for a short time.
//   - home: the entry that leases the caps of a slot's accounts.
//   - witness, word: an entry that stands by a home, and for how long.
//   - demand: what an entry's callers asked for lately.
//
// # References
//
//   - C. Gray, D. Cheriton, Leases: an efficient fault-tolerant mechanism for
//     distributed file cache consistency, SOSP (1989).
//   - D. Gifford, Weighted voting for replicated data, SOSP (1979).
//   - D. Bertsekas, R. Gallager, Data Networks (1992), on max-min fairness.
package mgshare
