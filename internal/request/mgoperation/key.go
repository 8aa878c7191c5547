package mgoperation

import (
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Promise is the delivery guarantee of a call of a plain service.
type Promise uint8

// The promises.
const (
	// Repeatable: the service declares that its calls may be repeated. A key is
	// passed on.
	Repeatable Promise = iota
	// Single: at most once for this one HTTP request; the entry mints an ID. If the
	// caller repeats the request, that is another operation.
	Single
	// Pinned: at most once for all requests that carry the minted ID.
	Pinned
)

// A KeySpec is a call's key and the table's setting for its service.
type KeySpec struct {
	Account string
	Service string
	// Key is the value of the Idempotency-Key header, or empty.
	Key string
	// Idempotent is set when the service's calls may be repeated.
	Idempotent bool
}

// PromiseFor returns the guarantee for a call and, if it is Pinned, the operation
// that its key names. A key made by the caller is refused for a service whose
// calls may not be repeated.
//
// Such a key names no incarnation. Two entries with different lists of VMs, as
// in a partition, would send it to two agents, and each would treat it as new.
// Ranking the agents by the key doesn't help, because the ranking depends on
// the list; nor does a time inside the key, because the agent on the other side
// of the partition may be as old. Only a minted ID names the one process that
// has the record.
func PromiseFor(seal *mgseal.Signer, spec KeySpec) (Promise, Operation, error) {
	if spec.Idempotent {
		return Repeatable, Operation{}, nil
	}
	if spec.Key == "" {
		return Single, Operation{}, nil
	}
	operation, err := Open(seal, spec.Account, spec.Service, spec.Key)
	if err != nil {
		return Single, Operation{}, mgproblem.New(mgproblem.GuaranteeUnavailable, mgproblem.NotRun,
			"no key but a minted one keeps this service's calls from running twice",
			"mint an operation id first and send it as the Idempotency-Key")
	}
	return Pinned, operation, nil
}
