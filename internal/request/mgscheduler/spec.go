package mgscheduler

import (
	"fmt"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgadmission"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Spec holds the settings of a Scheduler. The zero Spec has unlimited memory and takes the
// defaults.
type Spec struct {
	Memory int64          // tokens of the upstream's memory, 0 for unlimited
	Batch  int            // maximum number of running answers, 0 for mgadmission.DefaultBatch
	Queue  int            // maximum number of waiting requests, 0 for mgqueue.DefaultCapacity
	Boost  mgclock.Millis // head start for each priority level, 0 for mgqueue.DefaultBoost
	Policy Policy
}

// A Policy is a named set of settings, for comparisons. The zero Policy is the one for
// production.
type Policy struct {
	Rule       mgadmission.Rule // admission rule
	Free       float64          // share of the memory that stays free under mgadmission.Watermark
	Short      float64          // z, see package mgadmission, of short answers with the preference Steady under mgadmission.OverflowProbability
	Steady     float64          // z of other answers with the preference Steady under mgadmission.OverflowProbability
	Whole      float64          // z of answers with the preference Whole under mgadmission.OverflowProbability
	Loan       float64          // tokens lent to each priority level, 0 for mgqueue.DefaultLoan, negative for none
	Overtaking float64          // cost that may overtake a waiting request, as a multiple of its own, 0 for DefaultOvertaking, negative for none
}

// policies holds the policies by name. "ours" is the one for production; the others are
// earlier versions of it and alternatives to it; ours-Z is a point on the Pareto front
// between many answers and few preemptions.
var policies = map[string]Policy{
	"ours": {},
	"strict": {
		Loan:       -1,
		Overtaking: -1,
	},
	"ours-1.5": {
		Whole: 1.5,
	},
	"ours-2": {
		Whole: 2,
	},
	"ours-3": {
		Whole: 3,
	},
	"ours-4": {
		Whole: 4,
	},
	"now": {
		Rule: mgadmission.CurrentSize,
	},
	"reserve": {
		Rule: mgadmission.Reserve,
	},
	"mark-0.05": {
		Rule: mgadmission.Watermark,
		Free: 0.05,
	},
	"mark-0.1": {
		Rule: mgadmission.Watermark,
		Free: 0.1,
	},
	"mark-0.2": {
		Rule: mgadmission.Watermark,
		Free: 0.2,
	},
	"mark-0.3": {
		Rule: mgadmission.Watermark,
		Free: 0.3,
	},
	"mark-0.4": {
		Rule: mgadmission.Watermark,
		Free: 0.4,
	},
}

// PolicyByName returns the policy with a name.
func PolicyByName(name string) (Policy, error) {
	p, ok := policies[name]
	if !ok {
		return Policy{}, fmt.Errorf("mgscheduler: unknown policy %q: use one of %q", name, PolicyNames())
	}
	return p, nil
}

// PolicyNames returns the sorted names of all policies.
func PolicyNames() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Preference is what matters most to a service's callers.
type Preference string

// The preferences.
const (
	Steady Preference = ""      // short gaps between tokens
	Whole  Preference = "whole" // no stall and no preemption
)

// A Request describes a generation to the scheduler.
type Request struct {
	ID       string
	Account  string
	Service  string
	Model    string
	Weight   float64        // the account's, 0 counts as 1
	Priority int            // the service's, 0 to mgqueue.Levels-1, higher goes first
	Prefer   Preference     // the service's
	Prompt   int            // tokens
	Cached   int            // tokens of the prompt that the upstream has in its cache
	Max      int            // maximum tokens of the answer, 0 for unlimited
	Deadline mgclock.Millis // latest time for the first token, 0 for none
	Due      mgclock.Millis // latest time for the whole answer, 0 for none
}

// uncached returns the prompt tokens that must be computed.
func (r *Request) uncached() int { return max(r.Prompt-r.Cached, 0) }

// due returns when the caller needs the answer, or 0.
func (r *Request) due() mgclock.Millis {
	if r.Due > 0 {
		return r.Due
	}
	return r.Deadline
}

// A Decision starts a request or gives it up.
type Decision struct {
	ID     string
	GiveUp *mgproblem.Problem // nil to start
}

// An Offer describes to an entry the prospects of a request at this upstream.
type Offer struct {
	Wait           mgclock.Millis     // expected until the first token
	GenerationTime mgclock.Millis     // expected from the first token to the last
	Headroom       int64              // free tokens of memory
	Running        int                // requests
	Queued         int                // requests
	Refused        *mgproblem.Problem // nil when it would be accepted
}
