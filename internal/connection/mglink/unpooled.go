package mglink

import (
	"net"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// NewUnpooledClient returns a client that opens a new connection for each request, with
// silence as the connect timeout.
//
// When a stream goes silent, the idle connections to the same agent use the same
// network path and may be dead as well. A request on one of them would wait for
// the whole silence timeout again, and so would the next one.
func NewUnpooledClient(silence mgclock.Millis) *http.Client {
	dialer := &net.Dialer{
		Timeout: silence.Duration(),
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:       dialer.DialContext,
			DisableKeepAlives: true,
		},
	}
}
