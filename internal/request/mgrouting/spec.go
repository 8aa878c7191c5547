package mgrouting

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// An Upstream is an engine, or a plain service (one that is no engine), of the
// list of VMs.
type Upstream struct {
	Name    string
	Zone    string
	Region  string
	Models  []string
	Leaving bool
}

// A Query describes a request.
type Query struct {
	Model  string
	Prefix uint64 // hash of the prompt's leading blocks, 0 for none
	Zone   string // of the entry
	Region string // of the entry
	Count  int    // candidates wanted, 0 for DefaultCandidates
	Prompt int    // tokens
	Output int    // expected tokens
}

// An Offer is an upstream's reply to a query.
type Offer struct {
	Upstream       int            // index in the Fleet
	Wait           mgclock.Millis // expected time to the first token
	GenerationTime mgclock.Millis // expected time from the first token to the last
	Uncached       int            // prompt tokens that it has to compute
	Headroom       int64          // free memory in tokens, negative for unlimited
	Running        int            // streams
	InFlight       int            // this entry's requests in flight when the query was sent
	Refused        bool
}
