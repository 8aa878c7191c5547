package mgdial

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"
)

// connect bounds the opening of a connection. A zone is half a millisecond
// away; a second leaves room for one lost SYN, which the kernel repeats after
// one second, only where the caller's own deadline allows it.
const connectTimeout = 1500 * time.Millisecond

// near bounds the opening of a connection within a region, where a round trip
// takes a few ms: an upstream that doesn't answer by then is given up while the
// shortest deadlines still allow another.
const regionalConnectTimeout = 250 * time.Millisecond

// Near opens a connection within a region. Its other end is asked for a sign of
// life by the kernel after silence (net.KeepAliveConfig): a connection that a
// partition or a lost entry of a middlebox has cut falls silent without a reset,
// and whoever waits on it would wait for its whole timeout.
func Near(silenceTimeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: regionalConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     silenceTimeout / (maxUnansweredProbes + 1),
			Interval: silenceTimeout / (maxUnansweredProbes + 1),
			Count:    maxUnansweredProbes,
		},
	}
	return dialer.DialContext
}

// keepAlives is the number of unanswered signs of life that end a connection:
// one may be lost.
const maxUnansweredProbes = 2

// headerBytes bounds the header of a response.
const maxHeaderBytes = 64 << 10

// A Failure is an exchange that brought no response.
type Failure struct {
	sent  bool
	cause error
}

// Sent reports whether any of the request can have reached the other side.
func (f *Failure) Sent() bool { return f.sent }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Error returns what is known and the cause.
func (f *Failure) Error() string {
	if f.sent {
		return fmt.Sprintf("no response after sending: ask what became of the request before repeating it: %v", f.cause)
	}
	return fmt.Sprintf("no connection, nothing was sent: repeat it or choose another upstream: %v", f.cause)
}

// NewClient returns an HTTP client that uses each connection once and follows
// no redirect, since a redirect with status 307 or 308 would run a request
// that may not be repeated a second time.
func NewClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
	}
	return NewClientWith(dialer.DialContext)
}

// NewClientWith is NewClient with a dial function of the caller's.
func NewClientWith(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
			// A present, empty map keeps HTTP/2 off, which shares one
			// connection among requests.
			TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Do sends r and returns the response, whose body the caller closes, or a
// *Failure.
//
// The proof that nothing was sent is that the transport never got a
// connection for r: it writes only to one it got. A count of written bytes
// would not do, since a request whose context ended may still be on its way
// to the socket.
func Do(client *http.Client, r *http.Request) (*http.Response, error) {
	var hasConn atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { hasConn.Store(true) },
	}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	response, err := client.Do(r)
	if err != nil {
		return nil, &Failure{
			sent:  hasConn.Load(),
			cause: err,
		}
	}
	return response, nil
}

// Refuses reports whether an address refuses connections, as the address of a process
// that has ended does while its host lives. An error says that neither is known: the
// host may be down or cut off.
func Refuses(ctx context.Context, addr string) (bool, error) {
	dialer := net.Dialer{
		Timeout: regionalConnectTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("%s: whether it refuses connections isn't known: try again: %w", addr, err)
	}
	_ = conn.Close() // nothing was sent
	return false, nil
}
