package mgconfig

import (
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Kind is what an action does.
type Kind int

// The kinds of actions.
const (
	Exchange Kind = iota + 1 // send the summary to a peer
	Fetch                    // fetch values from a peer
	Read                     // read a value of the platform
	Watch                    // watch a value of the platform
	LongPoll                 // wait at a peer for a newer list of VMs
	Gossip                   // tell a peer of processes that are known, and be told
)

// An Action is what a machine wants done. Every action gets one Result.
type Action struct {
	kind          Kind
	pullID        int // the pull it is for, or 0
	peer          string
	addr          string
	summary       *mgrpc.Summary
	fetch         *mgrpc.FetchRequest
	key           string
	after         uint64
	wait          mgclock.Millis
	answerTimeout mgclock.Millis // longest time for the answer, beyond wait
	gossip        []mgmember.Gossip
}

// Kind returns what to do.
func (a Action) Kind() Kind { return a.kind }

// Peer returns the name of the peer, or "" when only its address is known.
func (a Action) Peer() string { return a.peer }

// Addr returns the peer's address.
func (a Action) Addr() string { return a.addr }

// Summary returns what an exchange sends.
func (a Action) Summary() *mgrpc.Summary { return a.summary }

// Fetch returns what a fetch asks for.
func (a Action) Fetch() *mgrpc.FetchRequest { return a.fetch }

// Key returns the key to read or watch.
func (a Action) Key() string { return a.key }

// After returns the version that a watch has.
func (a Action) After() uint64 { return a.after }

// Wait returns how long a watch waits.
func (a Action) Wait() mgclock.Millis { return a.wait }

// Gossip returns what a peer is told of processes.
func (a Action) Gossip() []mgmember.Gossip { return a.gossip }

// A ResultSpec is what came of an action: Err, or what the kind of action
// brings.
type ResultSpec struct {
	Action  Action
	Err     error
	Summary *mgrpc.Summary // of an exchange
	Values  [][]byte       // of a fetch, decompressed
	List    []byte         // of a fetch or what was listened for, decompressed
	Report  Word           // of whom was listened at
	Gossip  []mgmember.Gossip
	Value   mgplatform.Value // of a read or watch
}
