package mgtable

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// The kinds of services.
const (
	Generation = "generation"
	Plain      = "plain"
)

// The preferences of a service: PreferSteady prefers a steady rate of tokens, PreferWhole
// prefers complete answers without stalls and preemptions.
const (
	PreferSteady = "steady"
	PreferWhole  = "whole"
)

// Values of the column that specifies whether the calls of a plain service may
// be repeated.
const (
	Safe  = "safe"
	Never = "never"
)

// The kinds of upstreams.
const (
	Engine      = "engine"
	ServiceHost = "service"
)

// Values of the column that specifies whether an upstream refuses orders with an
// outdated fencing number.
const (
	OrdersChecked = "checked"
	OrdersIgnored = "ignored"
)

// An Account is one client account.
type Account struct {
	name     string
	keys     []Digest
	weight   float64
	rate     float64
	streams  int64
	services []string
	homes    []string
	line     int
}

// Name returns the account's name.
func (a *Account) Name() string { return a.name }

// Keys returns the digests of the account's API keys. Callers must not modify
// the slice.
func (a *Account) Keys() []Digest { return a.keys }

// Weight returns the account's fair-share weight, relative to other accounts
// that compete for the same upstreams.
func (a *Account) Weight() float64 { return a.weight }

// MaxTokenRate returns the limit in tokens per second, or 0 when there is none.
func (a *Account) MaxTokenRate() float64 { return a.rate }

// MaxStreams returns the limit of concurrent streams, or 0 when there is none.
func (a *Account) MaxStreams() int { return int(a.streams) }

// Services returns the services the account may use; none listed means all.
// Callers must not modify the slice.
func (a *Account) Services() []string { return a.services }

// HomeRegions returns the regions in which the account's requests may run; none listed
// means all. Callers must not modify the slice.
func (a *Account) HomeRegions() []string { return a.homes }

// AllowsService reports whether the account may use a service.
func (a *Account) AllowsService(service string) bool {
	if len(a.services) == 0 {
		return true
	}
	return contains(a.services, service)
}

// A Service is a generation service or a plain HTTP service that callers request
// by name.
type Service struct {
	name     string
	kind     string
	model    string
	prefer   string
	priority int64
	deadline int64
	max      int64
	repeat   string
	hedge    float64
	move     string
	backup   string
	stride   int64
	cold     int64
	ramp     float64
	copy     int64
	paths    []string
	line     int
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Kind returns Generation or Plain.
func (s *Service) Kind() string { return s.kind }

// Model returns the model of a generation service, or "".
func (s *Service) Model() string { return s.model }

// Preference returns PreferSteady or PreferWhole.
func (s *Service) Preference() string { return s.prefer }

// Priority returns the priority from 0 to 9; higher priorities are served first.
func (s *Service) Priority() int { return int(s.priority) }

// Deadline returns the maximum time to the first token or the reply.
func (s *Service) Deadline() mgclock.Millis { return mgclock.Millis(s.deadline) }

// MaxOutput returns the maximum output in tokens, or 0 for the model's own limit.
func (s *Service) MaxOutput() int { return int(s.max) }

// Repeatable reports whether calls may run more than once.
func (s *Service) Repeatable() bool { return s.repeat == Safe }

// HedgeFraction returns the fraction of calls that may be sent twice, from 0 to 1.
func (s *Service) HedgeFraction() float64 { return s.hedge }

// CanMigrate reports whether running generations of the service may migrate between
// engines.
func (s *Service) CanMigrate() bool { return s.move == Yes }

// CanBackup reports whether the engines of the service copy a running generation, as it
// grows, to another engine that its request names.
func (s *Service) CanBackup() bool { return s.backup == Yes }

// CopyMicros returns the time in µs to copy the memory of one token between two
// engines of an availability zone, or 0 when it is unknown.
func (s *Service) CopyMicros() int { return int(s.copy) }

// TokensPerEvent returns the number of tokens per stream event.
func (s *Service) TokensPerEvent() int { return max(int(s.stride), 1) }

// ColdPeriod returns how long an upstream is cold after its start, or 0 when it is
// warm at once.
func (s *Service) ColdPeriod() mgclock.Millis { return mgclock.Millis(s.cold) }

// MaxColdRate returns the maximum requests per second to a cold upstream, or 0 for no
// limit.
func (s *Service) MaxColdRate() float64 { return s.ramp }

// UpstreamNames returns the upstreams that serve a plain service; none listed means
// all upstreams that list the service. Callers must not modify the slice.
func (s *Service) UpstreamNames() []string { return s.paths }

// A Model is a language model.
type Model struct {
	name    string
	context int64
	max     int64
	line    int
}

// Name returns the model's name.
func (m *Model) Name() string { return m.name }

// MaxContext returns the maximum length of prompt and output together, in tokens.
func (m *Model) MaxContext() int { return int(m.context) }

// MaxOutput returns the maximum output in tokens.
func (m *Model) MaxOutput() int { return int(m.max) }

// An Upstream is a model engine or a host of plain services.
type Upstream struct {
	name     string
	kind     string
	models   []string
	services []string
	memory   int64
	batch    int64
	orders   string
	line     int
}

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.name }

// Kind returns Engine or ServiceHost.
func (u *Upstream) Kind() string { return u.kind }

// Models returns the models an engine may load. Callers must not modify the
// slice.
func (u *Upstream) Models() []string { return u.models }

// Services returns the plain services a host runs. Callers must not modify the
// slice.
func (u *Upstream) Services() []string { return u.services }

// Memory returns an engine's memory capacity in tokens.
func (u *Upstream) Memory() int { return int(u.memory) }

// MaxConcurrent returns the maximum number of concurrent generations or calls.
func (u *Upstream) MaxConcurrent() int { return int(u.batch) }

// FencingMode returns OrdersChecked or OrdersIgnored.
func (u *Upstream) FencingMode() string { return u.orders }

// ListsService reports whether the upstream lists a service.
func (u *Upstream) ListsService(service string) bool { return contains(u.services, service) }

// ListsModel reports whether the upstream lists a model.
func (u *Upstream) ListsModel(model string) bool { return contains(u.models, model) }

func contains(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}
