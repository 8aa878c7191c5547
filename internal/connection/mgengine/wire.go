package mgengine

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// StartSpec says what a generation is to be.
type StartSpec struct {
	ID       string   `json:"id"`
	Model    string   `json:"model"`
	Prompt   string   `json:"prompt"`
	Tokens   int      `json:"tokens"`           // length of the prompt in tokens
	Prefix   []uint64 `json:"prefix,omitempty"` // hashes of the prompt's blocks, outermost first
	Max      int      `json:"max"`              // bound on the output in tokens
	Priority int      `json:"priority"`         // higher goes first
	Copy     string   `json:"copy,omitempty"`   // of the same generation, to go on from
}

// MoveSpec says where a generation is to be copied.
type MoveSpec struct {
	ID   string `json:"-"`
	To   string `json:"to"`   // the other engine's base URL
	Last bool   `json:"last"` // the generation stops first, and its stream breaks off
}

// Copy is what another engine holds of a generation.
type Copy struct {
	Name string `json:"name"` // to start from, once
	Made uint64 `json:"made"` // tokens in it
}

// Token is one step of a stream. Seq counts from 1; a Token with Seq 0 and
// neither End nor Fault is a heartbeat, which shows that the link lives while
// the generation waits or prefills.
type Token struct {
	Seq       uint64 `json:"seq,omitempty"`
	Text      string `json:"text,omitempty"`
	End       string `json:"end,omitempty"`   // "stop", "length" or "cancelled", on the last token
	Fault     string `json:"fault,omitempty"` // why the generation can't be continued
	Preempted int    `json:"preempted,omitempty"`
}

// Heartbeat reports whether t carries nothing but a sign of life.
func (t Token) Heartbeat() bool {
	return t.Seq == 0 && t.End == "" && t.Fault == ""
}

// Load is an engine's own report, which lags behind what it was given.
type Load struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Free     int64    `json:"free"`     // tokens of memory not in use
	Capacity int64    `json:"capacity"` // tokens of memory in all
	Models   []string `json:"models"`   // models and adapters that are loaded
	Role     string   `json:"role"`
	Fence    uint64   `json:"fence"`   // highest fencing number it accepted, 0 if it ignores them
	Leaving  bool     `json:"leaving"` // it takes no new generations

	// Notice is how long until it is gone, 0 when nobody has said.
	Notice mgclock.Millis `json:"notice,omitempty"`
}

// Event is a change of the prefix cache. Seq rises by one; a gap means that
// events were lost.
type Event struct {
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"` // "stored" or "evicted"
	Block uint64 `json:"block"`
}

// The kinds of cache events.
const (
	Stored  = "stored"
	Evicted = "evicted"
)

// Generation is one that the engine holds, running or finished and still
// resumable.
type Generation struct {
	ID       string `json:"id"`
	Model    string `json:"model"`
	Produced uint64 `json:"produced"` // tokens that can be streamed
	Done     bool   `json:"done"`
}

// The kinds of orders.
const (
	LoadModel   = "load"
	UnloadModel = "unload"
	SetRole     = "role"
)

// OrderSpec is an order to an engine.
type OrderSpec struct {
	Kind    string `json:"kind"`
	Model   string `json:"model"` // the model, or the role for SetRole
	Version string `json:"version,omitempty"`
	Fence   uint64 `json:"fence"`
}

// Refusal is the body of an engine's refusal.
type Refusal struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	Fence  uint64 `json:"fence,omitempty"`
}

// FenceRefusal is the kind of a Refusal of an old fencing number.
const FenceRefusal = "fence"
