package mgdial

import (
	"errors"
	"io"
	"net/http"
)

// CheckResponses returns a transport that returns the responses of inner if their status and the names of
// their fields and trailers are well-formed, otherwise a *MalformedError, which a body may return at its end.
// The clients of this package check each byte of a head besides.
func CheckResponses(inner http.RoundTripper) http.RoundTripper {
	return &checkedTransport{
		inner: inner,
	}
}

// checkedTransport is the transport of CheckResponses.
type checkedTransport struct {
	inner http.RoundTripper
}

// RoundTrip sends a request.
func (c *checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.inner.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(checkStatus(response.StatusCode), checkNames(response.Header)); err != nil {
		_ = response.Body.Close() // nothing of it is used
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailedBody{
			ReadCloser: response.Body,
			response:   response,
		}
	}
	return response, nil
}

// CloseIdleConnections closes the pooled connections; see http.Client.
func (c *checkedTransport) CloseIdleConnections() {
	client := http.Client{
		Transport: c.inner,
	}
	client.CloseIdleConnections()
}

// checkNames checks the names of fields.
func checkNames(header http.Header) error {
	for name := range header {
		if !isToken(name) {
			return malformed("%.40q is no field's name", name)
		}
	}
	return nil
}

// A trailedBody is a body in chunks, after which trailers may come.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read reads from the body. It returns io.EOF after trailers that are well-formed.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if trailerErr := checkNames(b.response.Trailer); trailerErr != nil {
			err = trailerErr
		}
	}
	return n, err
}
