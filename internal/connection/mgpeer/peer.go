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
const scheme = "Bearer "

// minSecret is the least length of a shared key in characters: 16 random
// characters can't be guessed over a network.
const minSecret = 16

// idleConnection bounds how long an unused connection is pooled. Something
// between two processes may lose track of an idle connection; a short life
// keeps few suspects, and each call has a deadline of its own besides.
const idleConnection = 5 * time.Second

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
	open     bool // the network itself admits nobody else
	secret   string
	digests  [][sha256.Size]byte
	identity *tls.Config
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
func New(settings Spec) (*Guard, error) {
	if len(settings.Secret) < minSecret {
		return nil, fmt.Errorf("key secret: has %d characters: give %d or more", len(settings.Secret), minSecret)
	}
	guard := &Guard{secret: settings.Secret}
	for _, secret := range []string{settings.Secret, settings.Previous} {
		if secret != "" {
			guard.digests = append(guard.digests, sha256.Sum256([]byte(secret)))
		}
	}
	identity, err := loadTLS(settings.TLS)
	if err != nil {
		return nil, err
	}
	guard.identity = identity
	return guard, nil
}

// Unkeyed returns a guard that asks for no key, for networks on which only the
// system's own processes reach the listener for peers.
func Unkeyed() *Guard {
	return &Guard{open: true}
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
		if !g.open && !g.known(r.Header.Get("Authorization")) {
			mgproblem.Write(w, mgproblem.New(mgproblem.Stranger, mgproblem.NotRun,
				"this listener is for the system's own processes", "give all processes the same secret in their settings"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// known compares in constant time with each accepted key, so that the time of
// an answer tells nothing of the key.
func (g *Guard) known(header string) bool {
	digest := sha256.Sum256([]byte(strings.TrimPrefix(header, scheme)))
	found := 0
	for i := range g.digests {
		found |= subtle.ConstantTimeCompare(digest[:], g.digests[i][:])
	}
	return found == 1
}

// Listen opens a listener for the system's other processes.
func (g *Guard) Listen(address string) (*mglistener.Listener, error) {
	listener, err := mglistener.Listen(address, g.identity)
	if err != nil {
		return nil, fmt.Errorf("key peer: can't listen on %s: give a free IP and port of this VM: %w", address, err)
	}
	return listener, nil
}

// Base returns the URL of a process at an IP and port.
func (g *Guard) Base(address string) string {
	if g.identity != nil {
		return "https://" + address
	}
	return "http://" + address
}

// Transport returns a transport of its own connections that sends the key.
// With fresh set no connection is used twice.
func (g *Guard) Transport(fresh bool) http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &keyed{
		header: scheme + g.secret,
		inner: &http.Transport{
			DialContext:         dialer.DialContext,
			TLSClientConfig:     g.identity,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,
			IdleConnTimeout:     idleConnection,
			MaxIdleConnsPerHost: 64,
		},
	}
}

// keyed adds the shared key to each request.
type keyed struct {
	header string
	inner  *http.Transport
}

// RoundTrip sends a copy of the request with the key.
func (k *keyed) RoundTrip(r *http.Request) (*http.Response, error) {
	sent := r.Clone(r.Context())
	sent.Header.Set("Authorization", k.header)
	return k.inner.RoundTrip(sent)
}

// CloseIdleConnections drops the pooled connections, for example after a
// pause, when any of them may be dead.
func (k *keyed) CloseIdleConnections() { k.inner.CloseIdleConnections() }
