package mgrouting

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// An Upstream is one listed engine or plain service.
type Upstream struct {
	Name    string
	Zone    string
	Region  string
	Models  []string
	Leaving bool
}

// A Query says what a request needs.
type Query struct {
	Model  string
	Prefix uint64 // hash of the prompt's leading blocks, 0 for none
	Zone   string // of the entry
	Region string // of the entry
	Count  int    // candidates wanted, 0 for DefaultCount
	Prompt int    // tokens
	Output int    // expected tokens
}

// An Offer is an upstream's answer to a query.
type Offer struct {
	Upstream int            // place in the Fleet
	Wait     mgclock.Millis // expected until the first token
	Rest     mgclock.Millis // expected from the first token to the last
	Uncached int            // prompt tokens that it must compute
	Headroom int64          // free tokens of memory, negative for no bound
	Running  int            // streams
	Flights  int            // of this entry, when the query was sent
	Refused  bool
}
