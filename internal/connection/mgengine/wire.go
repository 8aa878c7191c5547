package mgengine

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// StartSpec describes a generation to start.
type StartSpec struct {
	ID           string   `json:"id"`
	Model        string   `json:"model"`
	Prompt       string   `json:"prompt"`
	PromptTokens int      `json:"tokens"`           // length of the prompt in tokens
	Prefix       []uint64 `json:"prefix,omitempty"` // hashes of the prompt's blocks, outermost first
	MaxTokens    int      `json:"max"`              // bound on the output in tokens
	Priority     int      `json:"priority"`         // higher priorities are served first
	CopyName     string   `json:"copy,omitempty"`   // name of a copy of the generation to continue
}

// MoveSpec describes a copy of a generation to another engine.
type MoveSpec struct {
	ID   string `json:"-"`
	To   string `json:"to"`   // the other engine's base URL
	Last bool   `json:"last"` // stop the generation before the copy, which ends its stream
}

// Copy is a copy of a generation on another engine.
type Copy struct {
	Name       string `json:"name"` // for one start from the copy (StartSpec.CopyName)
	TokenCount uint64 `json:"made"` // number of tokens in the copy
}

// Token is one item of a stream. Seq counts from 1; a Token with Seq 0 and
// neither End nor Fault is a heartbeat, which shows that the connection works
// while the generation waits or prefills.
type Token struct {
	Seq       uint64 `json:"seq,omitempty"`
	Text      string `json:"text,omitempty"`
	End       string `json:"end,omitempty"`   // "stop", "length" or "cancelled", on the last token
	Fault     string `json:"fault,omitempty"` // why the generation can't be continued
	Preempted int    `json:"preempted,omitempty"`
}

// IsHeartbeat reports whether t is a heartbeat, without content.
func (t Token) IsHeartbeat() bool {
	return t.Seq == 0 && t.End == "" && t.Fault == ""
}

// Load is an engine's load report, which lags behind the requests sent to it.
type Load struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Free     int64    `json:"free"`     // free memory in tokens
	Capacity int64    `json:"capacity"` // total memory in tokens
	Models   []string `json:"models"`   // loaded models and adapters
	Role     string   `json:"role"`
	Fence    uint64   `json:"fence"`   // highest fencing number it accepted, 0 if it ignores them
	Leaving  bool     `json:"leaving"` // it accepts no new generations

	// Notice is the announced time until the engine is shut down, 0 when none is
	// announced.
	Notice mgclock.Millis `json:"notice,omitempty"`
}

// Event is a change of the prefix cache. Seq increases by one; a gap means that
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

// Generation is a generation that the engine holds: running, or finished and
// still resumable.
type Generation struct {
	ID       string `json:"id"`
	Model    string `json:"model"`
	Produced uint64 `json:"produced"` // number of tokens that can be streamed
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

// FenceRefusal is the kind of a Refusal for an outdated fencing number.
const FenceRefusal = "fence"
