package mgbench

import "github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"

// Preference is what a service would rather have when memory is scarce.
type Preference string

// The preferences, as the operators' table names them.
const (
	Steady Preference = "steady" // even gaps between tokens
	Whole  Preference = "whole"  // fewest stalls and preemptions
)

// A LengthSpec describes a mixture of two lognormal distributions of tokens.
type LengthSpec struct {
	Median       float64 // of the first part
	Sigma        float64 // of the logarithm, both parts
	SecondMedian float64 // median of the second part
	SecondWeight float64 // of the second part, 0 to 1
	Limit        int     // lengths are cut here
}

// A ServiceSpec describes the requests to one service.
type ServiceSpec struct {
	Name            string
	Share           float64 // of all requests
	Prompt          LengthSpec
	Output          LengthSpec
	SharedPrefix    float64 // part of the prompt that an account's requests share
	Deadline        float64 // of the whole answer, s
	FirstTokenLimit float64 // of the first token, s; 0 for none
	Priority        int
	Prefer          Preference
}

// An AccountSpec describes a client account.
type AccountSpec struct {
	Name   string
	Weight float64
	Share  float64 // of all requests
	From   float64 // first arrival, as a part of the run
}

// A BurstSpec modulates the rate of arrivals by a Markov chain of two states.
// The zero value keeps the rate constant.
type BurstSpec struct {
	Factor        float64 // rate in the burst state over the mean rate
	BurstDuration float64 // mean stay in the burst state, s
	CalmDuration  float64 // mean stay in the calm state, s
}

// A PhaseSpec changes the load from a point of the run on.
type PhaseSpec struct {
	From   float64 // as a part of the run
	Rate   float64 // factor on the rate
	Length float64 // factor on the outputs
}

// A FaultSpec is what happens to some engines in the middle of a run.
type FaultSpec struct {
	Engines int     // the first so many
	From    float64 // as a part of the run
	Until   float64 // as a part of the run; for a slow upstream
	Speed   float64 // of a slow upstream; 0 means that the engines leave
	Notice  float64 // before they leave, s
}

// A ReclaimSpec takes engines away again and again and brings them back, as a
// provider does with spare capacity. The zero value takes none.
type ReclaimSpec struct {
	Interval       float64 // between reclaims, s
	Engines        int     // at a time
	MinNotice      float64 // at least, s
	MaxExtraNotice float64 // of notice at most, drawn evenly, s
	Downtime       float64 // until an engine is back, empty, s
	Entries        int     // that hold the streams, each a part of them
	Zones          int     // that the engines are spread over
	CopyPerToken   float64 // of a token's memory within a zone, ms; twice as much between zones
}

// A ScenarioSpec describes a scenario.
type ScenarioSpec struct {
	Name           string
	Description    string
	Duration       float64 // arrivals, s
	Engines        int
	Model          mgmodel.Spec
	SaturationRate float64 // requests per second and engine that saturate it
	Load           float64 // mean arrivals over saturation
	Services       []ServiceSpec
	Accounts       []AccountSpec
	Burst          BurstSpec
	Phases         []PhaseSpec
	Fault          FaultSpec
	Reclaim        ReclaimSpec
}
