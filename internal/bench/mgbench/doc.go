// Package mgbench compares policies for serving generations of unknown length.
// It runs each policy on the same requests, engines and clients in virtual
// time.
//
// It drives the decision packages and engine models
// (internal/bench/mgmodel) in one event loop. It simulates neither a network
// nor membership; the effects of partitions and pauses are tested elsewhere.
// Most scenarios have at most twelve engines.
//
// Terms:
//
//   - scenario: engines, accounts, services, a load pattern, and changes
//     during the run.
//   - policy: admits, orders, refuses and routes requests. A gate is the part
//     of a policy that runs beside one engine.
//   - reclaim: an engine leaves at short notice and returns empty, as spare
//     capacity does. A move strategy determines how its generations leave it.
//     All strategies run the scenario with the same routing, with the decisions
//     of mgmigration and mgload, links on which copies queue, and engines that
//     reserve memory for copies.
//   - hub: the process that merges the load reports of all entries.
//   - stall: a gap between two tokens of an answer above a fixed threshold. The
//     stall time is the sum of such gaps.
//   - goodput: answers completed within their deadline, per second.
//   - backlogged: describes an account with at least as many requests waiting
//     or refused for now as there are engines, at each sample within a window.
//     With fewer requests it can't use its share of each engine; an account
//     that always has a single report waiting for memory would otherwise count
//     as falling short of its share.
//
// Output lengths follow a lognormal distribution or a mixture of two, as
// production traces show (Wang et al. 2024, BurstGPT; Patel et al. 2024,
// Splitwise). Arrivals are a Poisson process whose rate is modulated by a
// two-state Markov chain (Fischer and Meier-Hellstern 1993). Fairness is the
// index of Jain, Chiu and Hawe (1984) over weight-normalized service. Delays
// are recorded in HDR histograms (Tene 2012).
//
// All random numbers derive from the seed, so that a run is exactly
// reproducible.
package mgbench
