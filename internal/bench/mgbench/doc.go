// Package mgbench measures policies for generations of unknown length side by
// side: the same requests, engines and clients, one policy after the other, in
// virtual time.
//
// It is a driver of the decision packages and of engine models
// (internal/bench/mgmodel) in one loop. It has no network, no membership and
// at most twelve engines; what a partition or a pause does is tested elsewhere.
//
// Terms:
//
//   - scenario: engines, accounts, services, a pattern of load, and what
//     changes on the way.
//   - policy: what admits, orders, turns away and routes. A gate is a policy's
//     part beside one engine.
//   - reclaim: an engine that leaves at short notice and comes back empty, as
//     spare capacity does. A way is how its generations leave it: the ways play
//     this scenario over one placement, with the decisions of mgmigration and
//     mgload, links on which copies queue, and engines that hold memory for them.
//   - stall: a gap between two tokens of an answer above a named bound. The
//     stall time is the sum of such gaps.
//   - goodput: answers complete within their deadline, per second.
//   - backlogged: an account that has as many requests waiting or turned away
//     for now as there are engines, at each look within a window. With fewer it
//     can't take its share at each engine, and one that always has a single
//     report waiting for memory would count as short of its share.
//
// Output lengths are lognormal or a mixture of two lognormals, as production
// traces show (Wang et al. 2024, BurstGPT; Patel et al. 2024, Splitwise);
// arrivals are a Poisson process whose rate a Markov chain of two states
// modulates (Fischer and Meier-Hellstern 1993). Fairness is the index of Jain,
// Chiu and Hawe (1984) over weight-normalized service. Delays are kept in HDR
// histograms (Tene 2012).
//
// All random numbers come from the seed, so that a run repeats exactly.
package mgbench
