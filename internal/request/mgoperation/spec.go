package mgoperation

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// The defaults of a Spec.
const (
	// AttemptWindow is longer than an entry holds on to an offer (its probe and
	// retries end within a second or two) and short against an agent's life.
	AttemptWindow = 30 * mgclock.Second
	// OperationWindow leaves a caller the time to mint, lose its connection and
	// retry by hand.
	OperationWindow = 10 * mgclock.Minute
	// DefaultLinger lets those that wait for a late result read it.
	DefaultLinger = 10 * mgclock.Second
	// DefaultMaxRecords bounds the entries: 50 writes a second for ten minutes,
	// with room to spare, in about 10 MB.
	DefaultMaxRecords = 1 << 16
	// DefaultMaxBodyBytes bounds the bodies of kept results.
	DefaultMaxBodyBytes = 64 << 20
)

// A Spec holds the bounds of a Ledger. Fields left 0 take the defaults.
type Spec struct {
	// Window is how long after its stamp an entry may begin.
	Window mgclock.Millis
	// Linger is how long a result is kept that came after the window.
	Linger mgclock.Millis
	// MaxRecords bounds the number of entries, tombstones included.
	MaxRecords int
	// MaxBodyBytes bounds the bodies of kept results.
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

// A StartSpec is a message that asks for an entry to run.
type StartSpec struct {
	// ID names the attempt or operation.
	ID string
	// Stamp is the owner's time that the ID's offer or minting carries.
	Stamp mgclock.Millis
	// Deadline is the time after which it must not reach the upstream: the time
	// of arrival plus the budget that the message carries.
	Deadline mgclock.Millis
	// Digest tells apart two bodies under one ID; 0 when it doesn't matter.
	Digest uint64
	// Generation is what an attempt that begins now is to be called upstream.
	Generation string
}

// A Result is what an upstream answered.
type Result struct {
	// Outcome is Done, NotRun only if no byte reached the upstream, or Unknown.
	Outcome mgproblem.Outcome
	Status  int
	Mime    string
	Body    []byte
	// Trimmed is set when the body was dropped to keep memory bounded.
	Trimmed bool
}
