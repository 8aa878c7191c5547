// Package mgplacement decides which engine holds which model, and when an agent may
// load it.
//
// Every agent computes the same plan from the table and the list of VMs, and carries
// out its own part; there is no coordinator. An engine that may hold several models
// gets the one that ranks first by rendezvous hashing, so that adding or removing an
// engine moves nothing else, and a model that would be left without an engine gets the
// one that can best be spared.
//
// Loads are paced by the Pacer alone, because the weight store admits few at a time and
// 900 engines may want to load at once. A change of plan must be stable for a while
// before it is acted upon, so that a flapping list moves nothing; an engine that has
// changed its model keeps it for some minutes, so that a slowly flapping list doesn't
// cost the engine its caches each time. Engines that change together load in the order
// of their ranks, as many a second as the store admits. An engine that can't know how
// many others load starts within seconds, and when the store refuses it retries at a
// random time within the time that all engines would need.
//
// # Terms
//
//   - plan: the model of each live engine.
//   - slot: the time at which an engine may load after a change of plan.
//
// # References
//
//   - D. Thaler, C. Ravishankar, Using name-based mappings to increase hit
//     rates, IEEE/ACM Transactions on Networking 6 (1998).
//   - R. Metcalfe, D. Boggs, Ethernet: distributed packet switching for local
//     computer networks, CACM 19 (1976), on random back-off.
package mgplacement
