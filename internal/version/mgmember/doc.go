// Package mgmember tracks which other processes exist and selects those to use.
//
// It combines three sources. The platform's list of VMs names the existing processes,
// but lags. A process's own announcements count at once: an agent that announces that
// it is leaving gets no work from that moment. A process that fails is suspected for a
// while and then tried again. No process polls all others: the evidence comes from
// calls that are made anyway.
//
// # Terms
//
//   - incarnation: one run of a process under its VM's name. Incarnations of one
//     name compare as strings; the greater is the newer.
//   - suspicion: a member that failed twice in a row is skipped until a timeout
//     is over that doubles with each further failure (a circuit breaker).
//   - view: an immutable snapshot of the members, replaced as a whole.
//   - rendezvous hashing: every process ranks the members for a key by the hash of key
//     and name, so that all that have the same list choose the same first.
//   - cell, hub: a part of a region's processes, and the process of a cell that collects
//     the load reports of the others.
//   - cordon: an operator's order that an availability zone gets no new work.
//   - era: a number that the platform increases after it was restored from an older
//     copy of its data.
//   - cold: an upstream is cold for a while after its start.
//   - pause: an interval in which the process didn't run although the clock did.
//
// # References
//
//   - D. Thaler, C. Ravishankar, Using name-based mappings to increase hit
//     rates, IEEE/ACM Transactions on Networking 6 (1998).
//   - A. Das, I. Gupta, A. Motivala, SWIM: scalable weakly-consistent
//     infection-style process group membership, DSN (2002).
//   - N. Hayashibara, X. Défago, R. Yared, T. Katayama, The φ accrual failure
//     detector, SRDS (2004).
//   - R. van Renesse, Y. Minsky, M. Hayden, A gossip-style failure detection
//     service, Middleware (1998).
//   - M. Nygard, Release It! (2007), on circuit breakers.
package mgmember
