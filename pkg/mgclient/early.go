package mgclient

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// nameHeader carries the answer's name in an informational response (RFC 8297,
// status 103) before the first token is there. Without it a caller whose entry
// dies while the request waits could neither resume nor safely ask again.
const nameHeader = "Answer"

// resumeHeader tells the entry that this caller comes back after a lost
// connection, so that its generation is kept for a while.
const resumeHeader = "Resume"

// An earlyName is the answer's name as an informational response told it; the
// last one counts, for the entry may have started over elsewhere.
type earlyName struct {
	name atomic.Pointer[string]
}

// trace returns a context in which a request's informational responses are
// read.
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

// load returns the name, or "" when none came.
func (e *earlyName) load() string {
	if name := e.name.Load(); name != nil {
		return *name
	}
	return ""
}
