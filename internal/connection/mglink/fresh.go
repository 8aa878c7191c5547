package mglink

import (
	"net"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Fresh returns a client that makes a new connection for each request and
// gives up on one that isn't made within silence.
//
// When a stream goes silent, idle connections to the same agent took the same
// way and may be forgotten as well. A request on one of them would wait a whole
// span of silence again, and the next one too.
func Fresh(silence mgclock.Millis) *http.Client {
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
