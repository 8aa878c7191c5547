package mgclient

import (
	"context"
	"net"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Spec configures a client. The default of a zero field is given in brackets.
type Spec struct {
	Bases          []string       // base URLs of the entries, in the order of preference
	Key            string         // the client account's key
	SilenceTimeout mgclock.Millis // timeout for a connection without tokens and heartbeats [5000]
	BeginTimeout   mgclock.Millis // timeout for the response to a new request or a call [60000]
	MaxTries       int            // max consecutive attempts without progress [8]
	Clock          mgclock.Clock
	Jitter         func() float64 // uniform random numbers in [0, 1) [math/rand/v2]
	// Dial opens the connections to the entries [mgdial.NewClient's].
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Request is the request for one answer.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"` // set by Complete
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CallSpec describes one call of a plain service.
type CallSpec struct {
	Service   string
	Method    string
	Path      string // relative to the service, with its query
	Mime      string
	Body      []byte
	Operation string // from NewOperationID, for a call that may not be repeated
}

// Reply is a plain service's response.
type Reply struct {
	Status int
	Mime   string
	Body   []byte
}

// chunk is the data of one event, in the form of OpenAI's streams.
type chunk struct {
	Choices   []choice `json:"choices"`
	Preempted int      `json:"preempted"`
}

type choice struct {
	Delta  delta   `json:"delta"`
	Finish *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

// mintReply is the JSON reply to NewOperationID.
type mintReply struct {
	Operation string `json:"operation"`
}
