package mgadmission

import "github.com/marjoramgauge/marjoramgauge/internal/request/mglength"

// Rule names a rule of a Gate.
type Rule string

// The rules. The package comment explains them.
const (
	Outgrow Rule = ""
	Mark    Rule = "mark"
	Reserve Rule = "reserve"
	Now     Rule = "now"
)

// Spec holds the settings of a Gate. The zero Spec has no bound on memory and
// takes the defaults.
type Spec struct {
	Memory int64   // tokens, 0 for no bound
	Batch  int     // most answers at a time, 0 for DefaultBatch
	Rule   Rule    // what is let in
	Free   float64 // share of memory that stays free under Mark, 0 for DefaultFree
	Short  float64 // z for a steady answer that is expected to hold little memory, 0 for DefaultShort
	Steady float64 // z for any other steady answer, 0 for DefaultSteady
	Whole  float64 // z for a whole answer, 0 for DefaultWhole
}

// A Candidate is a request that may be let in.
type Candidate struct {
	Prompt int             // tokens
	Max    int             // tokens that the answer stops at, 0 for none
	Whole  bool            // prefers no stall over steady tokens
	Curve  *mglength.Curve // of the answer's length, read by Outgrow
}
