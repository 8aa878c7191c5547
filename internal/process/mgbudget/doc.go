// Package mgbudget bounds what a process holds in memory for the callers of its listeners.
//
// Each listener has a Budget, a part of the process's memory (see PartsOf). Each of its connections has a
// Claim on it: the listener's fixed amount from the accept on, which covers the receive queue, the buffers,
// the head of a request and a small body, and what a request needs beyond that. An amount is granted before
// its bytes are read or it is refused, and is given back when the request or the connection ends.
//
// Requests may hold a part of the budget beyond their connections' amounts (requestShare), so that large
// bodies leave room for new connections. Where the budget is exhausted, the owner of the claims ends
// connections that wait for their callers; see Claim.
package mgbudget
