package mgconfig

import (
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Kind is the type of an action.
type Kind int

// The kinds of actions.
const (
	Exchange Kind = iota + 1 // exchange summaries with a peer (anti-entropy)
	Fetch                    // fetch values from a peer
	Read                     // read a value from the platform
	Watch                    // watch a value of the platform (long poll)
	LongPoll                 // long-poll a peer for a newer list of VMs
	Gossip                   // exchange with a peer the records of processes that the platform doesn't list
)

// An Action is an I/O request of a Machine. Every action gets exactly one ActionResult.
type Action struct {
	kind          Kind
	pullID        int // the pull (fetching of a newer table) that it belongs to, or 0
	peer          string
	addr          string
	summary       *mgrpc.Summary
	fetch         *mgrpc.FetchRequest
	key           string
	after         uint64
	wait          mgclock.Millis
	answerTimeout mgclock.Millis // timeout of the answer, in addition to wait
	gossip        []mgmember.Gossip
}

// Kind returns the type of the action.
func (a Action) Kind() Kind { return a.kind }

// Peer returns the name of the peer, or "" when only its address is known.
func (a Action) Peer() string { return a.peer }

// Addr returns the peer's address.
func (a Action) Addr() string { return a.addr }

// Summary returns the summary that an exchange sends.
func (a Action) Summary() *mgrpc.Summary { return a.summary }

// Fetch returns the request that a fetch sends.
func (a Action) Fetch() *mgrpc.FetchRequest { return a.fetch }

// Key returns the key to read or watch.
func (a Action) Key() string { return a.key }

// After returns the version that the caller has; a watch or long poll waits for a newer
// one.
func (a Action) After() uint64 { return a.after }

// Wait returns how long the other side may hold a watch or long poll.
func (a Action) Wait() mgclock.Millis { return a.wait }

// Gossip returns the records of processes that are sent to the peer.
func (a Action) Gossip() []mgmember.Gossip { return a.gossip }

// An ActionResult is the result of an action: Err, or the fields of the action's kind.
type ActionResult struct {
	Action  Action
	Err     error
	Summary *mgrpc.Summary // of an exchange
	Values  [][]byte       // of a fetch, decompressed
	List    []byte         // of a fetch or long poll, decompressed
	Report  VersionReport  // of a long poll
	Gossip  []mgmember.Gossip
	Value   mgplatform.Value // of a read or watch
}
