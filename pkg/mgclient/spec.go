package mgclient

import (
	"context"
	"net"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Spec describes a client. A field that is zero takes the default in brackets.
type Spec struct {
	Bases   []string       // base URLs of the entries, in the order of preference
	Key     string         // the client account's key
	Silence mgclock.Millis // a connection without a sign of life for so long is dead [5000]
	Begin   mgclock.Millis // bound on the wait for the first sign of an answer or reply [60000]
	Tries   int            // tries in a row without progress [8]
	Clock   mgclock.Clock
	Jitter  func() float64 // uniform numbers in [0, 1) [math/rand/v2]
	// Dial opens the connections to the entries [mgdial.NewClient's].
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Request asks for one answer.
type Request struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Max      int       `json:"max_tokens,omitempty"`
	Stream   bool      `json:"stream"` // set by Complete
}

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CallSpec is one call of a plain service.
type CallSpec struct {
	Service   string
	Method    string
	Path      string // under the service, with its query
	Mime      string
	Body      []byte
	Operation string // from Mint, for a call that may not be repeated
}

// Reply is a plain service's answer.
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

// minted is the reply to Mint.
type mintReply struct {
	Operation string `json:"operation"`
}
