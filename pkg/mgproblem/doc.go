// Package mgproblem holds the typed errors that callers and operators see.
//
// A Problem names what went wrong (kind), what to do (remedy), what became of
// the request (outcome) and, where waiting helps, when to come back. Over HTTP
// it travels as application/problem+json (Nottingham, Wilde, Dalal 2023, RFC
// 9457).
package mgproblem
