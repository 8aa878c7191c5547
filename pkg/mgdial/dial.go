package mgdial

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"
)

// connectTimeout limits the opening of a connection. The round trip to a zone
// takes half a millisecond, and the kernel repeats a lost SYN after one second:
// the timeout tolerates one lost SYN where the caller's own deadline does.
const connectTimeout = 1500 * time.Millisecond

// regionalConnectTimeout limits the opening of a connection within a region,
// where a round trip takes a few ms. It is short enough to try another upstream
// within the shortest deadlines.
const regionalConnectTimeout = 250 * time.Millisecond

// DialInRegion returns a dial function for connections within a region. The kernel probes
// the peer with TCP keep-alives (net.KeepAliveConfig) and ends the connection
// after silenceTimeout without an acknowledgement: a partition, or a middlebox that
// drops its state, cuts a connection without a reset, and a reader would
// otherwise wait for its whole timeout.
func DialInRegion(silenceTimeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := regionalDialer(silenceTimeout)
	dialer.Timeout = regionalConnectTimeout
	return dialer.DialContext
}

// DialInRegionAfter is like DialInRegion for a process that may run late. At the timeout it calls settle,
// which returns once the process has handled all events that are ready; a connection that is open by then
// is used. Otherwise a process that was late would take its upstreams for unreachable and try others.
func DialInRegionAfter(silenceTimeout time.Duration, settle func(ctx context.Context)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := regionalDialer(silenceTimeout)
	return settleBeforeTimeout(dialer.DialContext, regionalConnectTimeout, settle)
}

// errConnectTimeout ends an attempt to open a connection.
var errConnectTimeout = errors.New("no connection in time: choose another address")

// settleBeforeTimeout returns a dial function with a timeout, before which it calls settle.
func settleBeforeTimeout(dial dialFunc, timeout time.Duration, settle func(ctx context.Context)) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		timer := time.AfterFunc(timeout, func() {
			settle(ctx)
			cancel(errConnectTimeout)
		})
		defer timer.Stop()
		conn, err := dial(ctx, network, addr)
		if err != nil && errors.Is(context.Cause(ctx), errConnectTimeout) {
			return nil, fmt.Errorf("%s: %w", addr, errConnectTimeout)
		}
		return conn, err
	}
}

func regionalDialer(silenceTimeout time.Duration) net.Dialer {
	return net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     silenceTimeout / (maxUnansweredProbes + 1),
			Interval: silenceTimeout / (maxUnansweredProbes + 1),
			Count:    maxUnansweredProbes,
		},
	}
}

// maxUnansweredProbes is the number of unanswered keep-alive probes that end a
// connection: one may be lost.
const maxUnansweredProbes = 2

// maxHeaderBytes limits the header of a response.
const maxHeaderBytes = 64 << 10

// A Failure is the error of a request without a response.
type Failure struct {
	sent  bool
	cause error
}

// Sent reports whether any part of the request may have reached the server.
func (f *Failure) Sent() bool { return f.sent }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Error returns whether the request may have been sent, a remedy and the cause.
func (f *Failure) Error() string {
	if f.sent {
		return fmt.Sprintf("no response after sending: find out whether the request ran before repeating it: %v", f.cause)
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

// A dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClientWith is like NewClient but opens connections with dial.
func NewClientWith(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Client {
	return newClient(dial, nil)
}

// newClient is NewClientWith with the roots of the certificates that it trusts, nil for those of the system.
func newClient(dial dialFunc, roots *x509.CertPool) *http.Client {
	open := detectResets(checked(dial))
	return &http.Client{
		Transport: traceWrites(CheckResponses(&http.Transport{
			DialContext:            checkHeads(open),
			DialTLSContext:         checkHeads(dialTLS(open, roots)),
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
			// A non-nil, empty map disables HTTP/2, which shares one
			// connection among requests.
			TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
		})),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// dialTLS returns a dial function whose connections are secured by TLS.
func dialTLS(dial dialFunc, roots *x509.CertPool) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(conn, &tls.Config{
			RootCAs:    roots,
			ServerName: host,
		})
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = conn.Close() // nothing was sent
			return nil, err
		}
		return secured, nil
	}
}

// checkKey is the context key of a check before a request is sent.
type checkKey struct{}

// WithSendCheck returns a context for requests of NewClientWith's clients. When the connection for such a
// request is open, check is called with it. If it returns an error, nothing is sent and the request fails
// with it.
func WithSendCheck(ctx context.Context, check func(conn net.Conn) error) context.Context {
	return context.WithValue(ctx, checkKey{}, check)
}

// checked returns a dial function that makes the check of WithSendCheck.
func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		check, _ := ctx.Value(checkKey{}).(func(conn net.Conn) error)
		if err != nil || check == nil {
			return conn, err
		}
		if err := check(conn); err != nil {
			_ = conn.Close() // nothing was sent
			return nil, err
		}
		return conn, nil
	}
}

// Do sends r and returns the response, whose body the caller closes, or a
// *Failure.
//
// Nothing was sent if the transport never got a connection for r, because it
// writes to no other. A count of written bytes would not prove it, since a
// request whose context ended may still be in the process of being written to
// the socket.
func Do(client *http.Client, r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used.Store(&info.Conn) },
	}
	ctx := context.WithValue(r.Context(), connKey{}, &used)
	r = r.WithContext(httptrace.WithClientTrace(ctx, trace))
	response, err := client.Do(r)
	if err != nil {
		return nil, &Failure{
			sent:  used.Load() != nil,
			cause: err,
		}
	}
	return response, nil
}

// connKey is the context key of the connection on which a request was sent.
type connKey struct{}

// ConnOf returns the connection of a response that Do has returned, or nil if it is unknown.
func ConnOf(response *http.Response) net.Conn {
	if response.Request == nil {
		return nil
	}
	used, _ := response.Request.Context().Value(connKey{}).(*atomic.Pointer[net.Conn])
	if used == nil || used.Load() == nil {
		return nil
	}
	conn := *used.Load()
	for {
		wrapper, ok := conn.(wrapperConn)
		if !ok {
			return conn
		}
		conn = wrapper.NetConn()
	}
}

// A wrapperConn is a connection around another one, as that of crypto/tls is.
type wrapperConn interface {
	NetConn() net.Conn
}

// RefusesConnections reports whether an address refuses connections, as it does after its
// process has ended while the host is up. An error means that neither is known:
// the host may be down or unreachable.
func RefusesConnections(ctx context.Context, addr string) (bool, error) {
	dialer := net.Dialer{
		Timeout: regionalConnectTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("%s: can't determine whether it refuses connections: try again: %w", addr, err)
	}
	_ = conn.Close() // nothing was sent
	return false, nil
}

// EndsWithConnection reports whether the end of the connection is all that marks the end of a
// response's body, since it has neither a length nor chunks (RFC 9112, 6.3). A body that was cut
// may then end without an error.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
