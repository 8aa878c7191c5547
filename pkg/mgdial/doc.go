// Package mgdial makes HTTP exchanges whose failures tell whether the other
// side can have seen the request.
//
// Each exchange opens a connection of its own. A pooled connection may be
// dead without a sign, as when a middlebox dropped its entry for it; a request
// written to it waits out its whole timeout, and net/http repeats some requests
// by itself when a reused connection breaks. Neither can happen
// on a connection that nothing else has used, and a failure before there is
// one proves that nothing was written.
package mgdial
