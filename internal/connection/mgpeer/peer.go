package mgpeer

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// scheme stands before the shared key in the Authorization header.
const authScheme = "Bearer "

// minSecret is the least length of a shared key in characters: 16 random
// characters can't be guessed over a network.
const minSecretLength = 16

// idleConnection bounds how long an unused connection is pooled. Something
// between two processes may lose track of an idle connection; a short life
// keeps few suspects, and each call has a deadline of its own besides.
const idleConnTimeout = 5 * time.Second

// dialTimeout bounds a new connection between processes.
const dialTimeout = time.Second

// Public returns the TLS configuration towards callers, or nil when no
// certificate is set and the platform's balancer ends TLS.
func Public(files Files) (*tls.Config, error) {
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

// A Guard admits only the system's own processes. The zero Guard admits
// nobody.
type Guard struct {
	isOpen    bool // the network itself admits nobody else
	secret    string
	digests   [][sha256.Size]byte
	tlsConfig *tls.Config
}

// Spec is what a guard is made of.
type Spec struct {
	Secret   string // the shared key
	Previous string // the key before the last change, accepted while a new one spreads
	TLS      Files
}

// Files names the PEM files of a certificate. The zero Files means none.
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

// Unkeyed returns a guard that asks for no key, for networks on which only the
// system's own processes reach the listener for peers.
func Unkeyed() *Guard {
	return &Guard{isOpen: true}
}

// loadTLS returns the mutual TLS configuration, or nil when none is set.
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

// Require passes on only requests that carry a shared key.
func (g *Guard) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.isOpen && !g.hasAcceptedKey(r.Header.Get("Authorization")) {
			mgproblem.Write(w, mgproblem.New(mgproblem.Stranger, mgproblem.NotRun,
				"this listener is for the system's own processes", "give all processes the same secret in their settings"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// known compares in constant time with each accepted key, so that the time of
// an answer tells nothing of the key.
func (g *Guard) hasAcceptedKey(header string) bool {
	digest := sha256.Sum256([]byte(strings.TrimPrefix(header, authScheme)))
	found := 0
	for i := range g.digests {
		found |= subtle.ConstantTimeCompare(digest[:], g.digests[i][:])
	}
	return found == 1
}

// Listen opens a listener for the system's other processes.
func (g *Guard) Listen(address string) (*mglistener.Listener, error) {
	listener, err := mglistener.Listen(address, g.tlsConfig)
	if err != nil {
		return nil, fmt.Errorf("key peer: can't listen on %s: give a free IP and port of this VM: %w", address, err)
	}
	return listener, nil
}

// Base returns the URL of a process at an IP and port.
func (g *Guard) Base(address string) string {
	if g.tlsConfig != nil {
		return "https://" + address
	}
	return "http://" + address
}

// Transport returns a transport of its own connections that sends the key.
// With fresh set no connection is used twice.
func (g *Guard) Transport(noReuse bool) http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &keyTransport{
		header: authScheme + g.secret,
		inner: &http.Transport{
			DialContext:         dialer.DialContext,
			TLSClientConfig:     g.tlsConfig,
			DisableKeepAlives:   noReuse,
			DisableCompression:  true,
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: 64,
		},
	}
}

// keyed adds the shared key to each request.
type keyTransport struct {
	header string
	inner  *http.Transport
}

// RoundTrip sends a copy of the request with the key.
func (k *keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	sent := r.Clone(r.Context())
	sent.Header.Set("Authorization", k.header)
	return k.inner.RoundTrip(sent)
}

// CloseIdleConnections drops the pooled connections, for example after a
// pause, when any of them may be dead.
func (k *keyTransport) CloseIdleConnections() { k.inner.CloseIdleConnections() }
