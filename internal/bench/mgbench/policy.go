package mgbench

import (
	"fmt"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// state is the state of a call.
type state int

const (
	atClient state = iota // at the client: not sent yet, or waiting for a retry
	queued                // in a gate's queue
	running               // added to an engine
	moving                // stopped at its engine, to be resumed at another
	ended
)

// call is the state of a request under one policy.
type call struct {
	*request
	spec             ServiceSpec
	state            state
	upstream         *upstream
	attempts         int
	produced         int
	firstTokenAt     float64 // time of the first token, ms
	lastTokenAt      float64 // time of the latest token, ms
	moveStarted      bool    // a move has started
	resumedElsewhere bool    // its next token is the first one after a move
	pausedByMove     bool    // a move caused a gap above pauseThreshold
	hasLongGap       bool    // it had a gap above pauseThreshold
}

// remainingTokens returns the number of tokens still to be produced. Only the
// oracle may use it, since other policies don't know the output length.
func (c *call) remainingTokens() int { return c.sequence.Output - c.produced }

// heldTokens returns the memory that c takes now.
func (c *call) heldTokens() int { return c.sequence.Prompt + c.produced }

// upstream is an engine with the policy's gate beside it.
type upstream struct {
	index           int
	engine          *mgmodel.Engine
	gate            gate
	stepEstimate    float64 // step duration in ms that the oracle assumes; 0 for other policies
	calls           []*call // queued or running here, in order of arrival
	isStepScheduled bool    // its next step is scheduled
	isLeaving       bool    // accepts no new work
	isGone          bool
}

// verdict is a gate's decision on a queued call: start it, or refuse it with a
// problem.
type verdict struct {
	call    *call
	problem *mgproblem.Problem
}

// gate is the part of a policy that runs beside one engine. Optional functions
// are nil.
type gate struct {
	submit    func(now mgclock.Millis, c *call) *mgproblem.Problem
	poll      func(now mgclock.Millis, dst []verdict) []verdict
	progress  func(now mgclock.Millis, c *call)
	preempted func(now mgclock.Millis, c *call)
	finish    func(now mgclock.Millis, c *call)
	withdraw  func(now mgclock.Millis, c *call)
	priority  func(c *call) int // for the engine
}

// policy admits, orders, refuses and routes calls.
type policy struct {
	name         string
	description  string
	moveStrategy moveStrategy // how generations leave a reclaimed engine; empty for policies without moves
	// build sets the gates of the upstreams and returns the router.
	build func(s ScenarioSpec, us []*upstream, seed uint64) router
}

// router chooses the upstream of a call among those that accept new work, or
// returns the reason why there is none.
type router func(now mgclock.Millis, c *call) (*upstream, *mgproblem.Problem)

// noUpstream is the refusal when no upstream accepts work.
var noUpstream = mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun, "no upstream takes work", "ask again later").WithRetryAfter(mgclock.Second)

// policies returns all policies in the order of the tables.
func policies() []policy {
	all := []policy{simplePolicy(), reservePolicy()}
	for _, percent := range []int{10, 20, 30, 40} {
		all = append(all, markPolicy(percent))
	}
	all = append(all, oursPolicies()...)
	return append(all, peakPolicy(), oraclePolicy())
}

// policyByName returns the policy of a name.
func policyByName(name string) (policy, error) {
	var names []string
	for _, p := range slices.Concat(policies(), tradeOffPolicies(), movePolicies()) {
		if p.name == name {
			return p, nil
		}
		names = append(names, p.name)
	}
	return policy{}, fmt.Errorf("policy %q: unknown: use all or some of %v", name, names)
}

// leastConnections chooses the upstream with the fewest calls.
func leastConnections(us []*upstream) router {
	return lowestCost(us, func(u *upstream, _ *call) float64 { return float64(len(u.calls)) })
}

// lowestCost chooses the upstream of the lowest cost among those that accept
// new work.
func lowestCost(us []*upstream, cost func(u *upstream, c *call) float64) router {
	return func(_ mgclock.Millis, c *call) (*upstream, *mgproblem.Problem) {
		var chosen *upstream
		bestCost := 0.0
		for _, u := range us {
			if u.isLeaving {
				continue
			}
			if cost := cost(u, c); chosen == nil || cost < bestCost {
				chosen, bestCost = u, cost
			}
		}
		if chosen == nil {
			return nil, noUpstream
		}
		return chosen, nil
	}
}

// hasReclaims reports whether engines are reclaimed and return in a scenario.
// Only policies with a moveStrategy run such a scenario, and they run no
// other: the gates of the other policies rely on engines that stay.
func (s ScenarioSpec) hasReclaims() bool { return s.Reclaim.Interval > 0 }

// playablePolicies returns the candidates that can run a scenario.
func (s ScenarioSpec) playablePolicies(candidates []policy) []policy {
	var chosen []policy
	for _, p := range candidates {
		if (p.moveStrategy != "") == s.hasReclaims() {
			chosen = append(chosen, p)
		}
	}
	return chosen
}
