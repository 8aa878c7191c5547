package mgpeer

import (
	"fmt"
	"io"
	"net/http"
)

// maxReplyBytes limits the reply to a call. The longest one has the pages of a table, 1 MiB before the last
// value, which has up to 1 MiB.
const maxReplyBytes = 4 << 20

// LimitReplies returns a transport for calls, whose replies are read into memory: a longer reply ends with an
// error. Streams need one without it.
func LimitReplies(inner http.RoundTripper) http.RoundTripper {
	return &limitTransport{
		inner: inner,
	}
}

type limitTransport struct {
	inner http.RoundTripper
}

// RoundTrip sends a request.
func (l *limitTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.inner.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{
		ReadCloser: response.Body,
	}
	return response, nil
}

// CloseIdleConnections closes the pooled connections.
func (l *limitTransport) CloseIdleConnections() { closeIdleConnections(l.inner) }

// A limitedBody is a body of up to maxReplyBytes.
type limitedBody struct {
	io.ReadCloser
	count int
}

// Read reads from the body.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.count += n; b.count > maxReplyBytes {
		return 0, fmt.Errorf("peer: a reply exceeds %d bytes: find out what listens at the address", maxReplyBytes)
	}
	return n, err
}
