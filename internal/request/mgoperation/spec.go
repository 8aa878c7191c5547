package mgoperation

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// The defaults of a Spec.
const (
	// AttemptWindow is longer than the time for which an entry process uses an
	// offer, as its query and retries end within a second or two. It is short
	// compared with an agent's lifetime.
	AttemptWindow = 30 * mgclock.Second
	// OperationWindow gives a caller time to mint, lose its connection and retry by
	// hand.
	OperationWindow = 10 * mgclock.Minute
	// DefaultLinger gives waiting callers time to read a late result.
	DefaultLinger = 10 * mgclock.Second
	// DefaultMaxRecords bounds the entries: 50 writes a second for ten minutes with
	// some spare, in about 10 MB.
	DefaultMaxRecords = 1 << 16
	// DefaultMaxBodyBytes bounds the total size of retained bodies.
	DefaultMaxBodyBytes = 64 << 20
)

// A Spec holds the bounds of a Ledger. Fields left 0 take the defaults.
type Spec struct {
	// Window is how long after its stamp an entry may begin.
	Window mgclock.Millis
	// Linger is the retention, the minimum time for which a result is kept, so that
	// one that arrives after the window can still be read.
	Linger mgclock.Millis
	// MaxRecords bounds the number of entries, tombstones included.
	MaxRecords int
	// MaxBodyBytes bounds the total size of retained bodies.
	MaxBodyBytes int
}

func (s Spec) withDefaults() Spec {
	if s.Window <= 0 {
		s.Window = AttemptWindow
	}
	if s.Linger <= 0 {
		s.Linger = DefaultLinger
	}
	if s.MaxRecords <= 0 {
		s.MaxRecords = DefaultMaxRecords
	}
	if s.MaxBodyBytes <= 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return s
}

// A StartSpec is a request to run an entry.
type StartSpec struct {
	// ID names the attempt or operation.
	ID string
	// Stamp is the agent's time at which it made the offer or minted the ID.
	Stamp mgclock.Millis
	// Deadline is the time after which the entry must not reach the upstream: the
	// time of arrival plus the budget that the message carries.
	Deadline mgclock.Millis
	// Digest distinguishes bodies sent under one ID; 0 if that doesn't matter.
	Digest uint64
	// Generation is the ID by which the upstream knows the generation that this
	// attempt starts.
	Generation string
}

// A Result is an upstream's response.
type Result struct {
	// Outcome is Done, NotRun only if no byte reached the upstream, or Unknown.
	Outcome mgproblem.Outcome
	Status  int
	Mime    string
	Body    []byte
	// Trimmed is set when the whole body was dropped to bound memory.
	Trimmed bool
}
