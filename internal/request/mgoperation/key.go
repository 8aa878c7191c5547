package mgoperation

import (
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Promise is what a call of a plain service is promised.
type Promise uint8

// The promises.
const (
	// Repeatable: the service says its calls may be repeated. A key is passed on.
	Repeatable Promise = iota
	// Single: at most once for this one HTTP request; the entry mints an id. A
	// caller that repeats the request asks for another operation.
	Single
	// Pinned: at most once for all requests that carry the minted id.
	Pinned
)

// A KeySpec is a call's key and what the table says of its service.
type KeySpec struct {
	Account string
	Service string
	// Key is the value of the Idempotency-Key header, or empty.
	Key string
	// Idempotent is set when the service's calls may be repeated.
	Idempotent bool
}

// Weigh returns what can be promised to a call. A key that the caller made
// itself is refused for a service whose calls may not be repeated.
//
// Such a key names no incarnation. Two entries that see different lists of VMs,
// as in a partition, would take it to two agents, and each would find it new.
// Ranking the agents by the key doesn't help, for the ranking differs with the
// list; neither does a time inside the key, for the agent of the other part
// is as old. Only a minted id names the one process that can know.
func Weigh(seal *mgseal.Signer, spec KeySpec) (Promise, Operation, error) {
	if spec.Idempotent {
		return Repeatable, Operation{}, nil
	}
	if spec.Key == "" {
		return Single, Operation{}, nil
	}
	operation, err := Open(seal, spec.Account, spec.Service, spec.Key)
	if err != nil {
		return Single, Operation{}, mgproblem.New(mgproblem.Unpromisable, mgproblem.NotRun,
			"no key but a minted one keeps this service's calls from running twice",
			"mint an operation id first and send it as the Idempotency-Key")
	}
	return Pinned, operation, nil
}
