package mgpeer

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// authScheme precedes the shared key in the Authorization header.
const authScheme = "Bearer "

// minSecretLength is the minimum length of a shared key in characters: 16 random
// characters can't be guessed over a network.
const minSecretLength = 16

// idleConnTimeout limits how long an unused connection is pooled. A middlebox may
// drop the state of an idle connection; with a short timeout few pooled connections
// can be dead, and each call has a deadline of its own.
const idleConnTimeout = 5 * time.Second

// dialTimeout limits the opening of a connection between processes.
const dialTimeout = time.Second

// LoadPublicTLS returns the TLS configuration of the listener for callers, or nil when
// no certificate is configured and the platform's load balancer terminates TLS.
func LoadPublicTLS(files Files) (*tls.Config, error) {
	if files.Cert == "" && files.Key == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fmt.Errorf("table public: can't load the certificate: give cert and key as PEM files that belong together: %w", err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
	}, nil
}

// A Guard authenticates the system's own processes and refuses all other
// clients. The zero Guard refuses all requests.
type Guard struct {
	isOpen    bool // only the system's own processes can reach the network
	secret    string
	digests   [][sha256.Size]byte
	tlsConfig *tls.Config
}

// Spec configures a Guard.
type Spec struct {
	Secret   string // the shared key
	Previous string // the previous key, still accepted while a new one is rolled out
	TLS      Files
}

// Files are the paths of the PEM files of a certificate. The zero Files means no
// certificate.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// New returns the guard for a process's settings.
func New(spec Spec) (*Guard, error) {
	if len(spec.Secret) < minSecretLength {
		return nil, fmt.Errorf("key secret: has %d characters: give %d or more", len(spec.Secret), minSecretLength)
	}
	guard := &Guard{secret: spec.Secret}
	for _, secret := range []string{spec.Secret, spec.Previous} {
		if secret != "" {
			guard.digests = append(guard.digests, sha256.Sum256([]byte(secret)))
		}
	}
	tlsConfig, err := loadTLS(spec.TLS)
	if err != nil {
		return nil, err
	}
	guard.tlsConfig = tlsConfig
	return guard, nil
}

// NewWithoutKey returns a guard that requires no key, for networks on which only the
// system's own processes can reach the peer listener.
func NewWithoutKey() *Guard {
	return &Guard{isOpen: true}
}

// loadTLS returns the mutual TLS configuration, or nil when no file is given.
func loadTLS(files Files) (*tls.Config, error) {
	if files.Cert == "" && files.Key == "" && files.CA == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fmt.Errorf("table tls: can't load the certificate: give cert and key as PEM files that belong together: %w", err)
	}
	authority, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fmt.Errorf("key tls.ca: can't read the authority: give a PEM file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("key tls.ca: %s holds no certificate: give a PEM file", files.CA)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientCAs:    pool,
		RootCAs:      pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// RequireKey returns a handler that forwards requests with an accepted key to next
// and refuses others.
func (g *Guard) RequireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.isOpen && !g.hasAcceptedKey(r.Header.Get("Authorization")) {
			mgproblem.Write(w, mgproblem.New(mgproblem.Unauthenticated, mgproblem.NotRun,
				"this listener is for the system's own processes", "give all processes the same secret in their settings"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// hasAcceptedKey compares the presented key with each accepted key in constant
// time, so that the response time doesn't reveal anything about a key.
func (g *Guard) hasAcceptedKey(header string) bool {
	digest := sha256.Sum256([]byte(strings.TrimPrefix(header, authScheme)))
	found := 0
	for i := range g.digests {
		found |= subtle.ConstantTimeCompare(digest[:], g.digests[i][:])
	}
	return found == 1
}

// Listen opens a listener for peers.
func (g *Guard) Listen(address string) (*mglistener.Listener, error) {
	listener, err := mglistener.Listen(address, g.tlsConfig)
	if err != nil {
		return nil, fmt.Errorf("key peer: can't listen on %s: give a free IP and port of this VM: %w", address, err)
	}
	return listener, nil
}

// BaseURL returns the base URL of a process at an IP and port.
func (g *Guard) BaseURL(address string) string {
	if g.tlsConfig != nil {
		return "https://" + address
	}
	return "http://" + address
}

// Transport returns a transport that sends the key with each request. It has its
// own connection pool; with noReuse, each request opens a new connection.
func (g *Guard) Transport(noReuse bool) http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &keyTransport{
		header: authScheme + g.secret,
		inner: mgdial.CheckResponses(&http.Transport{
			DialContext:         dialer.DialContext,
			TLSClientConfig:     g.tlsConfig,
			DisableKeepAlives:   noReuse,
			DisableCompression:  true,
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: 64,
		}),
	}
}

// errUnframed is the error for a response of which nothing but the connection's end marks the end, so that a
// cut one looks whole. The system's own processes send none.
var errUnframed = errors.New("peer: a response has neither a length nor chunks: find out what listens at the address")

// keyTransport adds the shared key to each request.
type keyTransport struct {
	header string
	inner  http.RoundTripper
}

// RoundTrip sends a copy of the request with the key.
func (k *keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	sent := r.Clone(r.Context())
	sent.Header.Set("Authorization", k.header)
	response, err := k.inner.RoundTrip(sent)
	if err == nil && mgdial.EndsWithConnection(response) {
		_ = response.Body.Close() // nothing of it is used
		return nil, errUnframed
	}
	return response, err
}

// CloseIdleConnections closes the pooled connections, for example after the
// process was paused, when any of them may be dead.
func (k *keyTransport) CloseIdleConnections() { closeIdleConnections(k.inner) }

func closeIdleConnections(transport http.RoundTripper) {
	client := http.Client{
		Transport: transport,
	}
	client.CloseIdleConnections()
}
