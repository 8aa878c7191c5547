// Package mgproblem defines the typed errors that callers and operators see.
//
// A Problem has a kind and a detail (what went wrong), a remedy (what to do
// about it), an outcome (whether the request ran) and, where a later request may
// succeed, a delay before the retry. Over HTTP it is sent as
// application/problem+json (Nottingham, Wilde, Dalal 2023, RFC 9457).
package mgproblem
