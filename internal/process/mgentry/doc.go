// Package mgentry implements the entry, the process that serves callers over HTTP.
//
// An entry authenticates client accounts, enforces their caps, probes a few
// agents for offers, starts a generation at the agent with the best offer and
// delivers its tokens: each token once, in order, from a single generation. It
// also routes plain-service calls. A call that must not be repeated goes to the
// one agent that minted its operation.
//
// An entry holds no state that another entry needs: an answer's name identifies
// its generation, so that any entry can resume the answer.
//
// Terms:
//   - home: the entry that leases an account's caps to the other entries;
//   - cell: a group of a region's processes; its entries use a part of their own
//     of each service that has enough upstreams;
//   - cordon: marks an availability zone so that it gets no new work;
//   - quarantine: holds back requests that have crashed upstreams.
package mgentry
