// Package mgsoak runs a whole deployment as separate processes on loopback, puts load
// on it, injects faults from a schedule drawn from a seed, and checks the system's
// promises against what callers and upstreams observe.
//
// Terms:
//
//   - deployment: entries and agents of the built binary, stand-ins for engines, a
//     plain service, the platform and upstreams of streams, and a link in front of each
//     of them but the last.
//   - reader: a caller of streams, which now and then closes its connection and resumes
//     the stream at another entry.
//   - fault: a disturbance of a process, a link or a stand-in for some time. Faults
//     are drawn one after another and overlap.
//   - schedule: the faults of a run with their times. A seed always draws the same
//     schedule.
//   - finding: a promise that was broken, with the observation that shows it.
//   - cordon: an operator's request that a zone get no new work.
//   - incarnation: one of the processes that run one after another under a name.
//
// The promises are:
//
//   - An answer's text is a prefix of one generation of the caller's own prompt, and
//     the whole text if the answer is reported as whole.
//   - No engine starts a generation twice.
//   - A write runs at most once, and no request reported as "not run" has run.
//   - A table version in force at an entry does not go back within a process, and is
//     in force everywhere some seconds after the last fault.
//   - A revoked key is rejected from then on.
//   - A planned stop cuts no answer that its process has accepted, if no other fault
//     is active.
//   - A cordoned zone gets no new work.
//   - A prompt that crashes engines is blocked, and so are prompts with a part that does,
//     but not sound ones that share their other parts.
//   - An answer that its upstream broke off doesn't look whole to its caller, whatever its
//     framing.
//   - While most new connections go to one entry, they are served nearly as often as others.
//   - A stream has events of one software version, also if its caller resumes it at
//     another entry and upstreams are upgraded meanwhile. A stream that is taken up
//     again goes on nearly as often as a new one begins, unless all entries that had its
//     record have ended.
//
// Entries on an operator's existing platform have a soak of their own, a test beside the
// adapter to that platform.
package mgsoak
