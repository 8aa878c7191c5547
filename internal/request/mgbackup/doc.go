// Package mgbackup decides which running generation gets a backup, that is a
// copy of its memory at a second engine that grows while it runs, and at which
// engine. It has no clock, no goroutine and no network: callers pass in the time
// and what they know of the engines.
//
// # Problem
//
// An engine that crashes, or that is reclaimed before its notice was seen, takes
// its generations with it. A migration (mgmigration) needs the source, so it
// can't help. A backup can, but takes memory at its engine for as long as the
// generation runs. With a backup for every run half of all memory held copies,
// and far fewer requests were served.
//
// # Decision
//
// A generation gets a backup if all of these hold:
//
//   - it is expected to run for long enough, where work that is already done
//     counts (Run.exposure);
//   - engines have lately been lost under their generations, so that it is
//     likely enough that its own engine is (Losses). Without losses there are no
//     backups;
//   - an engine can hold its full expected size beside a reserve (Choose);
//   - the share of the service's free memory that this process may use for
//     backups isn't used up (Budget). Processes divide this share evenly, so that
//     no message is needed.
//
// Among the engines that fit, those are preferred that are in an availability
// zone with few losses, that started recently, and that have much free memory.
// Engines are reclaimed in waves, and one that has just started is seldom in the
// next. A part of the choice is pseudorandom, since processes that see the same
// loads would otherwise all choose the same engine.
//
// # Terms
//
//   - memory: the KV cache that an engine keeps for a generation, in tokens.
//   - loss: an engine that is gone, or that leaves and whose migrations may come
//     too late.
//   - exposure: how long a generation is expected to run, weighted with the work
//     that a loss would destroy.
//   - reserve: the part of an engine's memory that backups leave free.
//
// # References
//
//   - F. Strati and others, DéjàVu: KV-cache streaming for fast, fault-tolerant
//     generative LLM serving, ICML (2024).
//   - N. Budhiraja and others, The primary-backup approach, in: S. Mullender
//     (ed.), Distributed systems (1993).
package mgbackup
