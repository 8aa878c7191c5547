package mgadmission

import "github.com/marjoramgauge/marjoramgauge/internal/request/mglength"

// Rule names a rule of a Gate.
type Rule string

// The admission rules. The package comment explains them.
const (
	OverflowProbability Rule = ""
	Watermark           Rule = "mark"
	Reserve             Rule = "reserve"
	CurrentSize         Rule = "now"
)

// Spec holds the settings of a Gate. The zero Spec has unlimited memory and takes the
// defaults. A whole answer is one whose Candidate sets Whole; any other is a steady answer.
type Spec struct {
	Memory int64   // tokens, 0 for unlimited
	Batch  int     // maximum number of running answers, 0 for DefaultBatch
	Rule   Rule    // admission rule
	Free   float64 // share of memory that stays free under Watermark, 0 for DefaultFree
	Short  float64 // z for a steady answer that is expected to hold little memory, 0 for DefaultShort
	Steady float64 // z for any other steady answer, 0 for DefaultSteady
	Whole  float64 // z for a whole answer, 0 for DefaultWhole
}

// A Candidate is a request that may be admitted.
type Candidate struct {
	Prompt int             // tokens
	Max    int             // maximum tokens of the answer, 0 for unlimited
	Whole  bool            // prefers an answer without stalls or preemption over short gaps between tokens
	Curve  *mglength.Curve // of the answer's length, used by OverflowProbability
}
