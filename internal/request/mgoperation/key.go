package mgoperation

import (
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Guarantee is the delivery guarantee of a call of a plain service.
type Guarantee uint8

// The guarantees.
const (
	// Repeatable: the call may be repeated, because the service declares so or its
	// method is safe. A key of the caller's is neither checked nor needed.
	Repeatable Guarantee = iota
	// Single: at most once for this one HTTP request, unlike Pinned; the entry
	// process mints an ID. If the caller repeats the request, that is another
	// operation.
	Single
	// Pinned: at most once for all requests that carry the minted ID. The ID binds
	// them to the one incarnation of an agent that it names.
	Pinned
)

// A KeySpec is a call's key and its service's setting in the table (mgtable).
type KeySpec struct {
	Account string
	Service string
	// Key is the value of the Idempotency-Key header, or empty.
	Key string
	// Idempotent is set when the service's calls may be repeated.
	Idempotent bool
}

// GuaranteeFor returns the guarantee for a call and, if it is Pinned, the
// operation that its key names. A key made by the caller is refused for a
// service whose calls may not be repeated.
//
// Such a key names no incarnation. Two entry processes with different lists of
// VMs, as in a partition, would send it to two agents, and each would treat it
// as new. Ranking the agents by the key doesn't help, because the ranking
// depends on the list; nor does a time inside the key, because the agent on the
// other side of the partition may have run for as long as the first one. Only a
// minted ID names the one process that has the record.
func GuaranteeFor(signer *mgseal.Signer, spec KeySpec) (Guarantee, Operation, error) {
	if spec.Idempotent {
		return Repeatable, Operation{}, nil
	}
	if spec.Key == "" {
		return Single, Operation{}, nil
	}
	operation, err := Open(signer, spec.Account, spec.Service, spec.Key)
	if err != nil {
		return Single, Operation{}, mgproblem.New(mgproblem.GuaranteeUnavailable, mgproblem.NotRun,
			"no key but a minted one keeps this service's calls from running twice",
			"mint an operation id first and send it as the Idempotency-Key")
	}
	return Pinned, operation, nil
}
