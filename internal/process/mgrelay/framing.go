package mgrelay

import (
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
)

// framing is how an upstream marks the end of an answer's body (RFC 9112, 6.3).
type framing int

const (
	framedByHeader framing = iota // there is no body: HEAD, 204, 304
	framedByLength
	framedByChunks
	framedByClose // the body ends with its connection
)

// String returns the name of the framing for logs.
func (f framing) String() string {
	return [...]string{"header", "length", "chunks", "close"}[f]
}

// framingOf returns the framing of an answer.
func framingOf(response *http.Response) framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return framedByChunks
	case response.Body == http.NoBody && response.ContentLength != 0:
		return framedByHeader
	case response.ContentLength >= 0:
		return framedByLength
	default:
		return framedByClose
	}
}

// recordCloseFraming records an answer that ended with its connection, and how many bytes of an
// incomplete event a stream had at its end.
func (y *Relay) recordCloseFraming(x *exchange, response *http.Response, events int64, open int) {
	if framingOf(response) != framedByClose {
		return
	}
	y.spec.Metrics.Counter("relay.closed").Inc(1)
	y.spec.Log.Info("an answer ended with its connection", mglog.Request, x.id, mglog.Route, x.call.Route.Name(),
		mglog.Service, x.service, mglog.Upstream, x.lastUpstream, "events", events, "open", open)
}
