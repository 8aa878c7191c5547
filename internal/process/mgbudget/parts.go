package mgbudget

// Parts are the budgets of a process's listeners, in bytes.
type Parts struct {
	callers   int64
	peers     int64
	operators int64
	readiness int64
}

const (
	// workShare is the part of the memory for the listener that brings a process its work: callers of an
	// entry, entries of an agent.
	workShare = 0.5
	// controlShare is the part for the other processes of an entry.
	controlShare = 0.2
	// checkShare is the part for operators, and that for checks of readiness.
	checkShare = 0.02
)

// The bytes of a connection, which cover its receive queue, its buffers, the head of a request, a small body,
// and the connection on which an upstream answers it.
const (
	CallerConnBytes = 90_000
	PeerConnBytes   = 48 << 10
)

// PartsOf returns the parts of a process's memory in bytes. The rest is for the process's own state, for
// what is garbage until the next collection, and for connections that the process opens itself. servesCallers
// is true for an entry.
func PartsOf(memory int64, servesCallers bool) Parts {
	part := func(share float64) int64 { return int64(share * float64(memory)) }
	parts := Parts{
		peers:     part(workShare),
		operators: part(checkShare),
		readiness: part(checkShare),
	}
	if servesCallers {
		parts.callers, parts.peers = part(workShare), part(controlShare)
	}
	return parts
}

// Callers returns the part for callers, 0 if the process serves none.
func (p Parts) Callers() int64 { return p.callers }

// Peers returns the part for other processes of the system.
func (p Parts) Peers() int64 { return p.peers }

// Operators returns the part for operators.
func (p Parts) Operators() int64 { return p.operators }

// Readiness returns the part for checks of readiness.
func (p Parts) Readiness() int64 { return p.readiness }

// Requests returns the bytes of a part that requests may hold beyond their connections' amounts.
func Requests(part int64) int64 { return int64(requestShare * float64(part)) }
