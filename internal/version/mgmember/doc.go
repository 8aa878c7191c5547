// Package mgmember tells a process which other processes there are and which
// of them to use.
//
// Three things are combined. The platform's list of VMs says who exists, but
// lags. What a process says of itself is heard at once: an agent's word that it
// is leaving counts from that moment. What fails is suspected for a while and
// then tried again. No process asks all others: evidence comes with the calls
// that are made anyway.
//
// # Terms
//
//   - incarnation: one run of a process under its VM's name. Incarnations of one
//     name compare as strings; the greater is the newer.
//   - suspicion: a member that failed twice in a row is left out until a span
//     that doubles with each further failure is over (a circuit breaker).
//   - view: an unchangeable picture of the members, replaced as a whole.
//   - rendezvous: every process ranks the members for a key by the hash of key
//     and name, so that all that see the same list choose the same first.
//   - pause: a span in which the process didn't run, though the clock did.
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
