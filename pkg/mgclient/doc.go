// Package mgclient is a caller that resumes by itself.
//
// Complete streams one answer. When its connection breaks or goes silent, it
// goes on through the next entry, on a new connection, from the last token it
// has: tokens that come twice are dropped, and a gap or another answer's token
// ends the connection, never the answer. It asks for a new generation only
// where the system attests that none ran.
//
// Call makes one call of a plain service. A call that may not be repeated goes
// under an operation id from Mint, which every try carries, so that the system
// runs it at most once.
//
// All errors are *mgproblem.Problem.
package mgclient
