// Package mgqueue implements the weighted fair queue of an upstream's agent.
//
// # Problem
//
// A few client accounts send most of the requests, and the cost of an answer is known only
// when it ends. In first-in first-out order a light account would wait behind the whole
// backlog of a heavy one.
//
// # Order
//
// Between accounts the order is start-time fair queueing (Goyal, Vin, Cheng 1996). Each
// account has a tag, the virtual time at which its next request starts. The account with
// the smallest tag is next, and its tag then grows by the request's expected cost in
// tokens divided by the account's weight. Charge corrects the tag when the actual length
// is known, so that an account whose answers run longer than expected does not gain by it.
// An account that returns from idleness starts at the current virtual time: it gains
// nothing by the time in which it sent nothing.
//
// Within an account the order is by the time at which a request is due (earliest deadline
// first, Liu and Layland 1973), less Boost for each level of priority. That key is fixed
// when a request comes, so that the request is overtaken only by requests that come soon
// after it, and no level starves.
//
// Between accounts a request starts earlier than its account's tag by Loan tokens of
// virtual time for each level of its priority. A lookup (a short request of a high
// priority) of an account that has had its turn goes before the reports (long requests of a
// low one) of others, and the account's own reports wait until the virtual time has reached
// the account's tag, which the lookup's cost has moved ahead. The loan is bounded, so that
// an account is ahead of its share by that much at most.
//
// Where the next request doesn't fit its upstream yet, some that do may overtake it by
// means of Alternatives and Take. They are charged as if it had been their turn.
//
// # Bounds
//
// The queue holds at most Capacity requests. The requests of an account at a priority
// level and above it may be at most as many as the queue has free places (dynamic
// thresholds, Choudhury and Hahne 1998): one account alone can fill half of the queue, two
// can fill two thirds, and a newcomer always finds a place. Accounts that neither wait nor
// have a tag ahead of the virtual time cost no memory.
//
// A Queue is not safe for concurrent use.
package mgqueue
