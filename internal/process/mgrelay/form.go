package mgrelay

import (
	"net/http"
	"strconv"
	"strings"
)

// A Form names the headers of a deployment. A name that is empty isn't used.
type Form struct {
	ID        string // the request's id, which upstreams echo
	Deadline  string // how long the caller still waits, ms
	Account   string // the account that an upstream is told
	Upstream  string // the upstream that is meant; another one refuses
	Instance  string // of answers: the upstream that answered
	Refused   string // of answers: the upstream did not run the request
	Leaving   string // of answers: the upstream leaves
	Limit     string // of answers: the requests a second that the upstream takes in all
	Signature string // of answers: the upstream made this answer
	Tokens    string // "prompt,most": tokens of the prompt, and most of the output
	Hint      string // the caller's estimate of the output's tokens
	Event     string // the last event that a caller, or the system, has
	Copy      string // the copy that a generation goes on from, address/name
	Private   []string
	// Fractions says that callers read fractions of a second in Retry-After.
	Fractions bool
}

// DefaultForm returns the form of the product's own interface.
func DefaultForm() Form {
	return Form{
		ID:        "Request-Id",
		Deadline:  "Deadline",
		Account:   "Account",
		Upstream:  "Upstream",
		Instance:  "Instance",
		Refused:   "Refused",
		Leaving:   "Leaving",
		Limit:     "Limit",
		Signature: "Signature",
		Tokens:    "Tokens",
		Hint:      "Hint",
		Event:     "Last-Event-Id",
		Copy:      "Copy",
	}
}

// generationSize is how large a generation is, in tokens.
type generationSize struct {
	prompt int
	output int // expected
}

// outputMemoryFraction is the part of an expected output that counts as memory taken: what
// a generation holds of it on average while it runs.
const outputMemoryFraction = 0.5

// memory returns the tokens of memory that a generation is counted with.
func (s generationSize) memory() int { return s.prompt + int(outputMemoryFraction*float64(s.output)) }

// defaultOutputFraction is the part of the most that a generation may make that it is
// expected to make when its caller gives no estimate.
const defaultOutputFraction = 0.5

// sizeOf reads a generation's size. What can't be read counts as unknown: the
// size decides on order and place only.
func (f *Form) sizeOf(header http.Header) generationSize {
	prompt, maxText, _ := strings.Cut(header.Get(f.Tokens), ",")
	var s generationSize
	s.prompt, _ = strconv.Atoi(prompt)
	maxOutput, _ := strconv.Atoi(maxText)
	hint, err := strconv.ParseFloat(header.Get(f.Hint), 64)
	if err != nil {
		hint = defaultOutputFraction * float64(maxOutput)
	}
	s.output = int(hint)
	if maxOutput > 0 {
		s.output = min(s.output, maxOutput)
	}
	return s
}

// hopHeaders concern one connection only (RFC 9110, 7.6.1).
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

// forwardedHeaders returns the headers of a caller's request that go on. The key never
// does, and what the system sets is dropped: a caller could otherwise speak in
// another account's name or use memory that the system reserved.
func (f *Form) forwardedHeaders(from http.Header) http.Header {
	to := endToEndHeaders(from)
	to.Del("Authorization")
	to.Del("Content-Length")
	for _, name := range []string{f.Account, f.Upstream, f.Deadline, f.Copy} {
		to.Del(name)
	}
	for _, name := range f.Private {
		to.Del(name)
	}
	if _, ok := to["User-Agent"]; !ok {
		// Without a value of ours the library adds its own name.
		to["User-Agent"] = nil
	}
	return to
}

// endToEndHeaders copies the headers that don't concern one connection only.
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
