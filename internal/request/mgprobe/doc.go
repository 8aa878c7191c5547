// Package mgprobe has one entry ask each engine whether it is leaving, on behalf of all entries.
//
// # Problem
//
// While the list of VMs may be out of date, only an engine itself tells that it is leaving, 1.5 to 2 s
// before it is gone. Each question has a price. If each entry asks each engine that runs its
// generations, the number of questions grows with entries times engines.
//
// # Decision
//
// Engines hash to slots, and each slot ranks the entries by rendezvous hashing. The first entry of a
// slot asks its engines once every Interval, and sends the answers to the next ones in rank, in one
// message for all engines that it asked in a round. An entry of a lower rank asks an engine itself if
// the last answer that it knows is older than it would be if the entries before it worked, and later
// the lower its rank is. So nothing has to be agreed upon: where entries rank differently, or the first
// one is dead, cut off, late or of a release without this package, an engine is asked by several
// entries or by the next one in rank.
//
// An entry to which a message could not be sent, or which responds that it doesn't probe, as its list is
// not stale, isn't ranked for a while, until a message of it arrives. The next one in rank is then the first, on each side of a partition by itself. Meanwhile an
// entry also asks each engine that runs its generations if it doesn't know of an answer for
// maxUnprobedTime, whatever its rank: all entries that would take over may be in the other part.
//
// Every exchangeInterval an entry also sends a message to a random entry, so that it notices when it is cut
// off. Where the engines are few enough, this message and its response hold all recent answers that their
// senders know, for entries that need a recent answer of the destination of a generation.
//
// # Terms
//
//   - answer: an engine's statement that it is not leaving, with the time when it was asked. That it is
//     leaving is not sent by this package: ReportDeparted of mgrelay spreads it.
//   - takeover: a probe by an entry that is not the first in rank.
//   - shared engine: one that entries of all cells of a region use. Its probe is assigned to one entry
//     of the region, otherwise to one entry of the cell.
//
// # References
//
// Thaler, Ravishankar 1998, "Using name-based mappings to increase hit rates" (rendezvous hashing).
// Demers et al. 1987, "Epidemic algorithms for replicated database maintenance" (push-pull exchange).
package mgprobe
