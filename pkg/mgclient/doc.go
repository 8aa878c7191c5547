// Package mgclient is a client library that resumes interrupted answers by
// itself. A client talks to entries, the processes that accept callers' requests.
//
// Complete streams one answer. When the connection breaks or goes silent, it
// resumes through the next entry, on a new connection, after the last token
// received: duplicate tokens are dropped, and a gap or a token of another answer
// ends the connection, never the answer. It requests a new generation only
// where the system attests that none ran.
//
// Call makes one call of a plain service. A call that may not be repeated uses
// an operation id from NewOperationID, which every attempt carries, so that the system
// runs it at most once.
//
// All errors are *mgproblem.Problem.
package mgclient
