// Package mgqueue is the weighted fair queue of an upstream's agent.
//
// # Load
//
// A few client accounts send most of the requests, and an answer's cost is
// known only when it ends. Without the queue the heavy account's backlog is
// everybody's wait: in first-in first-out order a light account waits behind
// all of it.
//
// # Order
//
// Between accounts the order is start-time fair queueing (Goyal, Vin, Cheng
// 1996). Each account has a tag, the virtual time at which its next request
// starts; the account with the least tag is next, and its tag then grows by
// the request's expected cost in tokens over the account's weight. Charge
// corrects the tag when the real length is known, so an account whose answers
// run longer than expected does not gain by it. An account that comes back
// from idleness starts at the present virtual time: it saves up no credit.
//
// Within an account the order is by the time at which a request is due
// (earliest deadline first, Liu and Layland 1973), less Boost for each level of
// priority. That key is fixed when a request comes, so it is passed only by
// those that come soon after it, and no level starves.
//
// Between accounts a level of priority lends its account Loan tokens of virtual
// time: a lookup of an account that has had its turn goes before the others'
// reports, and the account's own reports wait until that is paid off. The loan
// is bounded, so an account is ahead of its share by that much at most.
//
// Where the request that is next doesn't fit its upstream yet, Others and Take
// let some that do pass it; they are charged as if it had been their turn.
//
// # Bounds
//
// The queue holds at most Bound requests. An account may hold at level l and
// above at most as many as there are free places (dynamic thresholds,
// Choudhury and Hahne 1998): one account alone can fill half the queue, two
// can fill two thirds, and a newcomer always finds a place. Accounts that
// neither wait nor owe virtual time cost no memory.
//
// A Queue is not safe for concurrent use.
package mgqueue
