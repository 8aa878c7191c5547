package mgclient

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// nameHeader carries the answer's name in an informational response (RFC 8297,
// status 103) before the first token. Without it, a caller whose entry fails
// while the request waits could neither resume nor safely repeat the request.
const nameHeader = "Answer"

// resumeHeader declares that this caller resumes after a lost connection, so
// that the entry keeps its generation for a while.
const resumeHeader = "Resume"

// An earlyName holds the answer's name from an informational response. The last
// one is valid, because the entry may have restarted the generation on another
// upstream.
type earlyName struct {
	name atomic.Pointer[string]
}

// trace returns a context that records the name from a request's informational
// responses.
func (e *earlyName) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
			if name := header.Get(nameHeader); code == http.StatusEarlyHints && name != "" {
				e.name.Store(&name)
			}
			return nil
		},
	})
}

// load returns the name, or "" when none was received.
func (e *earlyName) load() string {
	if name := e.name.Load(); name != nil {
		return *name
	}
	return ""
}
