package mgbench

import (
	"fmt"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// state tells where a call stands.
type state int

const (
	atClient state = iota // at the client: not sent yet, or waiting to ask again
	queued                // in a gate's queue
	running               // given to an engine
	moving                // stopped at its engine, to go on at another
	ended
)

// call is a request on its way under one policy.
type call struct {
	*request
	spec             ServiceSpec
	state            state
	upstream         *upstream
	attempts         int
	produced         int
	firstTokenAt     float64 // time of the first token, ms
	lastTokenAt      float64 // time of the latest token, ms
	moveStarted      bool    // a move of it has begun
	resumedElsewhere bool    // its next token is the first one elsewhere
	pausedByMove     bool    // a move made its caller wait
	hasLongGap       bool    // it stood still for longer than pauseBound
}

// left returns the tokens still to come. Only the oracle may ask.
func (c *call) remainingTokens() int { return c.sequence.Output - c.produced }

// held returns the memory that c takes now.
func (c *call) heldTokens() int { return c.sequence.Prompt + c.produced }

// upstream is an engine with the policy's gate beside it.
type upstream struct {
	index           int
	engine          *mgmodel.Engine
	gate            gate
	stepEstimate    float64 // ms that the oracle expects of a step, else 0
	calls           []*call // queued or running here, in the order of their coming
	isStepScheduled bool    // its next turn is scheduled
	isLeaving       bool    // takes no new work
	isGone          bool
}

// verdict is a gate's decision on a queued call: start it, or give it up with
// a problem.
type verdict struct {
	call    *call
	problem *mgproblem.Problem
}

// gate is a policy's part beside one engine. Nil fields do nothing.
type gate struct {
	submit    func(now mgclock.Millis, c *call) *mgproblem.Problem
	poll      func(now mgclock.Millis, dst []verdict) []verdict
	progress  func(now mgclock.Millis, c *call)
	preempted func(now mgclock.Millis, c *call)
	finish    func(now mgclock.Millis, c *call)
	withdraw  func(now mgclock.Millis, c *call)
	priority  func(c *call) int // for the engine
}

// policy is a way to admit, order, turn away and route.
type policy struct {
	name         string
	description  string
	moveStrategy moveStrategy // how generations leave an engine; empty where none of them moves
	// build sets the gates of the upstreams and returns the router.
	build func(s ScenarioSpec, us []*upstream, seed uint64) router
}

// router chooses the upstream of a call among those that take new work, or
// says why there is none.
type router func(now mgclock.Millis, c *call) (*upstream, *mgproblem.Problem)

// noUpstream is the refusal when no upstream takes work.
var noUpstream = mgproblem.New(mgproblem.Crowded, mgproblem.NotRun, "no upstream takes work", "ask again later").WithRetry(mgclock.Second)

// policies returns all policies in the order of the tables.
func policies() []policy {
	all := []policy{simplePolicy(), reservePolicy()}
	for _, percent := range []int{10, 20, 30, 40} {
		all = append(all, markPolicy(percent))
	}
	all = append(all, oursPolicies()...)
	return append(all, peakPolicy(), oraclePolicy())
}

// policyNamed returns the policy of a name.
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

// least chooses the upstream of the least cost among those that take new work.
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

// reclaims reports whether engines come and go in a scenario. Only policies that
// say how generations leave them play it, and those play nothing else: the
// others' gates count on engines that stay.
func (s ScenarioSpec) hasReclaims() bool { return s.Reclaim.Interval > 0 }

// playable returns those of some policies that play a scenario.
func (s ScenarioSpec) playablePolicies(candidates []policy) []policy {
	var chosen []policy
	for _, p := range candidates {
		if (p.moveStrategy != "") == s.hasReclaims() {
			chosen = append(chosen, p)
		}
	}
	return chosen
}
