package mgrelay

import "net/http"

// framing is how an upstream marks the end of an answer's body (RFC 9112, 6.3).
type framing int

const (
	framedByHeader framing = iota // there is no body: HEAD, 204, 304
	framedByLength
	framedByChunks
	framedByClose // the body ends with its connection
)

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
