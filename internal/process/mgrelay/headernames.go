package mgrelay

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
)

// HeaderNames names the headers of a deployment. An empty name isn't used.
type HeaderNames struct {
	ID           string   // the request's id, which upstreams echo
	Deadline     string   // how long the caller still waits, ms
	Account      string   // the account, as sent to upstreams
	Upstream     string   // the intended upstream; another one refuses the request
	Instance     string   // in answers: the upstream that answered
	Refused      string   // in answers: the upstream did not run the request
	Leaving      string   // in answers: the upstream is leaving
	Software     string   // in answers: the version of the upstream's software; if it has a name, all answers have it
	RateLimit    string   // in answers: the rate limit of the upstream for all entries, in requests a second
	Signature    string   // in answers: proves that the upstream produced the answer
	Tokens       string   // "prompt,max": number of tokens of the prompt, and maximum for the output
	Model        string   // the model that the request is for
	Parts        string   // the parts of the prompt in order, each "name:tokens"; requests share all but the last
	OutputHint   string   // the caller's estimate of the number of output tokens
	LastEventID  string   // id of the last event that a caller, or the relay, has received
	Resumes      string   // from callers that resume a stream: the id of the request that brought its first event
	Backup       string   // to upstreams: address of the upstream to which this one copies the generation as it runs
	Copy         string   // the copy from which a generation continues: address of the source, "/", handle of the copy
	NotForwarded []string // further headers that are never forwarded to upstreams
	// RetryAfterFractions reports whether callers accept fractions of a second in Retry-After.
	RetryAfterFractions bool
}

// DefaultHeaderNames returns the headers of the project's own interface.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		ID:          "Request-Id",
		Deadline:    "Deadline",
		Account:     "Account",
		Upstream:    "Upstream",
		Instance:    "Instance",
		Refused:     "Refused",
		Leaving:     "Leaving",
		Software:    "Software",
		RateLimit:   "Limit",
		Signature:   "Signature",
		Tokens:      "Tokens",
		Model:       "Model",
		Parts:       "Parts",
		OutputHint:  "Hint",
		LastEventID: "Last-Event-Id",
		Resumes:     "Continues",
		Copy:        "Copy",
		Backup:      "Backup",
	}
}

// generationSize is the size of a generation in tokens.
type generationSize struct {
	prompt int
	output int // expected
}

// memory returns the tokens of memory that are counted for a generation.
func (s generationSize) memory() int { return s.prompt + int(mgwaitlist.OutputShare*float64(s.output)) }

// defaultOutputFraction is the part of its maximum output that a generation is
// expected to produce if its caller gives no estimate.
const defaultOutputFraction = 0.5

// sizeOf reads a generation's size. A value that can't be parsed counts as unknown:
// the size affects only estimates, that is the expected duration and the load that
// the request adds to an upstream, and so the order of placements and the choice of
// the upstream. A request whose prompt is unknown gets no placement.
func (f *HeaderNames) sizeOf(header http.Header) generationSize {
	prompt, maxText, _ := strings.Cut(header.Get(f.Tokens), ",")
	maxOutput := tokensOf(maxText)
	hint, err := strconv.ParseFloat(header.Get(f.OutputHint), 64)
	if err != nil || math.IsNaN(hint) {
		hint = defaultOutputFraction * float64(maxOutput)
	}
	s := generationSize{
		prompt: tokensOf(prompt),
		output: int(min(max(hint, 0), maxTokens)),
	}
	if maxOutput > 0 {
		s.output = min(s.output, maxOutput)
	}
	return s
}

// maxTokens bounds the sizes that callers state, in tokens, so that sums of them are exact.
const maxTokens = 1 << 31

// tokensOf returns the number of tokens that a text states, at most maxTokens, or 0 if it states none.
func tokensOf(text string) int {
	n, _ := strconv.Atoi(text) // the nearest integer if it is out of range
	return min(max(n, 0), maxTokens)
}

// hopHeaders apply to a single connection (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// forwardedHeaders returns the headers of a caller's request that are forwarded. The
// caller's key (Authorization) is never forwarded, and headers that the relay sets
// are dropped: otherwise a caller could act as another account (Account) or use memory
// that the system reserved, such as another generation's copy (Copy) or room for one (Backup).
func (f *HeaderNames) forwardedHeaders(from http.Header) http.Header {
	to := endToEndHeaders(from)
	to.Del("Authorization")
	to.Del("Content-Length")
	for _, name := range []string{f.Account, f.Upstream, f.Deadline, f.Copy, f.Backup} {
		to.Del(name)
	}
	for _, name := range f.NotForwarded {
		to.Del(name)
	}
	if _, ok := to["User-Agent"]; !ok {
		// Without this key net/http adds its own User-Agent.
		to["User-Agent"] = nil
	}
	return to
}

// endToEndHeaders copies the headers that don't apply to a single connection.
func endToEndHeaders(from http.Header) http.Header {
	to := from.Clone()
	for _, line := range from["Connection"] {
		for _, name := range splitList(line) {
			to.Del(name)
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
	return to
}
