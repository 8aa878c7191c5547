package mgbench

import "github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"

// Preference is what a service prefers when memory is scarce.
type Preference string

// Preferences, as the operators' table names them.
const (
	Steady Preference = "steady" // even gaps between tokens
	Whole  Preference = "whole"  // as few stalls and preemptions as possible
)

// LengthSpec describes a mixture of two lognormal distributions of token
// counts.
type LengthSpec struct {
	Median       float64 // median of the first component
	Sigma        float64 // standard deviation of the logarithm, both components
	SecondMedian float64 // median of the second component
	SecondWeight float64 // weight of the second component, 0 to 1
	Limit        int     // maximum length
}

// ServiceSpec describes the requests to one service.
type ServiceSpec struct {
	Name            string
	Share           float64 // of all requests
	Prompt          LengthSpec
	Output          LengthSpec
	SharedPrefix    float64 // fraction of the prompt that an account's requests share
	Deadline        float64 // for the whole answer, s
	FirstTokenLimit float64 // time limit for the first token, s; 0 for none
	Priority        int
	Prefer          Preference
}

// AccountSpec describes a client account.
type AccountSpec struct {
	Name   string
	Weight float64
	Share  float64 // of all requests
	From   float64 // earliest arrival, as a fraction of the run
}

// BurstSpec modulates the arrival rate by a two-state Markov chain. The zero
// value keeps the rate constant.
type BurstSpec struct {
	Factor        float64 // ratio of the rate in the burst state to the mean rate
	BurstDuration float64 // mean duration of the burst state, s
	CalmDuration  float64 // mean duration of the calm state, s
}

// PhaseSpec changes the load from a point in the run on.
type PhaseSpec struct {
	From   float64 // as a fraction of the run
	Rate   float64 // factor on the arrival rate
	Length float64 // factor on the output lengths
}

// FaultSpec describes a fault of some engines in the middle of a run.
type FaultSpec struct {
	Engines int     // number of engines, from the first one on
	From    float64 // as a fraction of the run
	Until   float64 // as a fraction of the run; for a slow upstream
	Speed   float64 // speed factor of a slow upstream; 0 means that the engines leave
	Notice  float64 // time before they leave, s
}

// ReclaimSpec describes engines that are reclaimed repeatedly and return, as
// with a provider's spare capacity. The zero value reclaims none.
type ReclaimSpec struct {
	Interval       float64 // interval between reclaims, s
	Engines        int     // number of engines per reclaim
	MinNotice      float64 // minimum notice, s
	MaxExtraNotice float64 // maximum additional notice, uniformly distributed, s
	Downtime       float64 // time until an engine returns with empty memory, s
	Entries        int     // number of entries, among which the streams are divided
	Zones          int     // number of zones among which the engines are spread
	CopyPerToken   float64 // copy time per token within a zone, ms; twice as long between zones
}

// ScenarioSpec describes a scenario.
type ScenarioSpec struct {
	Name           string
	Description    string
	Duration       float64 // duration of arrivals, s
	Engines        int
	Model          mgmodel.Spec
	SaturationRate float64 // saturation rate, requests per second and engine
	Load           float64 // ratio of the mean arrival rate to the saturation rate
	Services       []ServiceSpec
	Accounts       []AccountSpec
	Burst          BurstSpec
	Phases         []PhaseSpec
	Fault          FaultSpec
	Reclaim        ReclaimSpec
}
