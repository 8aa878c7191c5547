package mgbench

import (
	"fmt"
	"math/rand/v2"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgrouting"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgscheduler"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Names of the model, zone and region of the simulated deployment.
const (
	modelName  = "model"
	zoneName   = "a"
	regionName = "r"
)

// entry routes calls with the decision packages: it asks several agents for an
// offer on a call and chooses one.
type entry struct {
	fleet      *mgrouting.Fleet
	upstreams  []*upstream
	agents     []*agent
	random     *rand.Rand
	candidates []int
	offers     []mgrouting.Offer
}

// agent is the gate of the "ours" policies: a scheduler beside one engine.
type agent struct {
	entry     *entry
	upstream  *upstream
	scheduler *mgscheduler.Scheduler
	accounts  []AccountSpec
	prefer    Preference // overrides the services' preferences unless empty
	calls     map[string]*call
	decisions []mgscheduler.Decision
}

// oursPolicy returns a policy that runs the decision packages with the given
// settings. A non-empty preference overrides those of the services.
func oursPolicy(name, text string, settings mgscheduler.Policy, prefer Preference) policy {
	return policy{
		name:        name,
		description: text,
		build: func(s ScenarioSpec, us []*upstream, seed uint64) router {
			e := &entry{
				upstreams: us,
				random:    rand.New(rand.NewPCG(seed, randomStream)),
			}
			list := make([]mgrouting.Upstream, len(us))
			for i, u := range us {
				list[i] = mgrouting.Upstream{
					Name:   fmt.Sprintf("engine%d", i+1),
					Zone:   zoneName,
					Region: regionName,
					Models: []string{modelName},
				}
				a := newAgent(e, u, s, settings)
				a.prefer = prefer
				e.agents = append(e.agents, a)
				u.gate = a.gate()
			}
			e.fleet = mgrouting.NewFleet(list, nil)
			return e.route
		},
	}
}

// oursPolicies returns "ours" with its default settings, and variants with the
// same queue, routing and refusals but simpler memory rules, which show the
// benefit of estimating lengths.
func oursPolicies() []policy {
	return []policy{
		oursPolicy("ours", "the decision packages", settingsByName("ours"), ""),
		oursWithSettings("mark-0.1"),
		oursWithSettings("mark-0.2"),
		oursWithSettings("now"),
	}
}

// tradeOffPolicies returns the settings on the trade-off between many answers
// and few preemptions, and "ours" with one preference for all services. They
// run only when selected by name.
func tradeOffPolicies() []policy {
	front := []policy{
		oursPolicy("ours/steady", "ours, all services prefer steady", settingsByName("ours"), Steady),
		oursPolicy("ours/whole", "ours, all services prefer whole", settingsByName("ours"), Whole),
	}
	for _, name := range mgscheduler.PolicyNames() {
		if name != "ours" {
			front = append(front, oursWithSettings(name))
		}
	}
	return front
}

// oursWithSettings returns "ours" with another named set of settings.
func oursWithSettings(name string) policy {
	return oursPolicy("ours/"+name, "the decision packages, set as "+name, settingsByName(name), "")
}

func settingsByName(name string) mgscheduler.Policy {
	settings, err := mgscheduler.PolicyByName(name)
	if err != nil {
		panic("mgbench: " + err.Error())
	}
	return settings
}

// route asks the candidates for offers and chooses one. If all refuse, it
// returns the refusal with the earliest retry time.
func (e *entry) route(now mgclock.Millis, c *call) (*upstream, *mgproblem.Problem) {
	for i, u := range e.upstreams {
		if u.isLeaving {
			e.fleet.MarkLeaving(i)
		}
	}
	query := mgrouting.Query{
		Model:  modelName,
		Prefix: c.affinity(),
		Zone:   zoneName,
		Region: regionName,
		Prompt: c.sequence.Prompt,
	}
	e.candidates = e.fleet.Candidates(e.candidates[:0], query, e.random)
	e.offers = e.offers[:0]
	problem := noUpstream
	for _, i := range e.candidates {
		offer, refused := e.agents[i].offer(now, c)
		offer.InFlight = e.fleet.InFlight(i)
		e.offers = append(e.offers, offer)
		if refused != nil && (problem == noUpstream || refused.RetryAfter() < problem.RetryAfter()) {
			problem = refused
		}
	}
	best := e.fleet.Choose(e.offers, query, e.random)
	if best < 0 {
		return nil, problem
	}
	return e.upstreams[e.offers[best].Upstream], nil
}

// affinity returns the hash of the prompt's first block, which requests of an
// account to the service share, or 0 for a prompt shorter than a block.
func (c *call) affinity() uint64 {
	if len(c.sequence.Prefix) == 0 {
		return 0
	}
	return c.sequence.Prefix[0]
}

func newAgent(e *entry, u *upstream, s ScenarioSpec, settings mgscheduler.Policy) *agent {
	spec := u.engine.Spec()
	return &agent{
		entry:    e,
		upstream: u,
		scheduler: mgscheduler.New(mgscheduler.Spec{
			Memory: int64(spec.Memory),
			Batch:  spec.MaxBatch,
			Policy: settings,
		}),
		accounts: s.Accounts,
		calls:    make(map[string]*call),
	}
}

// gate returns a as a gate.
func (a *agent) gate() gate {
	return gate{
		submit: a.submit,
		poll:   a.poll,
		progress: func(now mgclock.Millis, c *call) {
			a.scheduler.Progress(now, c.sequence.ID, c.produced)
		},
		preempted: func(now mgclock.Millis, c *call) {
			a.scheduler.RecordPreemption(now, c.sequence.ID)
		},
		finish: func(now mgclock.Millis, c *call) {
			a.scheduler.Finish(now, c.sequence.ID)
			a.forget(c)
		},
		withdraw: a.withdraw,
		priority: func(c *call) int { return c.spec.Priority },
	}
}

// offer asks the scheduler for the conditions that c would get at this
// upstream.
func (a *agent) offer(now mgclock.Millis, c *call) (mgrouting.Offer, *mgproblem.Problem) {
	r := a.request(c)
	o := a.scheduler.Offer(now, r)
	return mgrouting.Offer{
		Upstream:       a.upstream.index,
		Wait:           o.Wait,
		GenerationTime: o.GenerationTime,
		Uncached:       r.Prompt - r.Cached,
		Headroom:       o.Headroom,
		Running:        o.Running,
		Refused:        o.Refused != nil,
	}, o.Refused
}

// request converts c to a request of the scheduler. The engine's cache stands
// in for the agent's record of cache events.
func (a *agent) request(c *call) mgscheduler.Request {
	account := a.accounts[c.account]
	r := mgscheduler.Request{
		ID:       c.sequence.ID,
		Account:  account.Name,
		Service:  c.spec.Name,
		Model:    modelName,
		Weight:   account.Weight,
		Priority: c.spec.Priority,
		Prompt:   c.sequence.Prompt,
		Cached:   a.upstream.engine.Cached(c.sequence.Prefix),
		Max:      c.spec.Output.Limit,
		Due:      toClock(c.deadline),
	}
	if a.prefer == Whole || a.prefer == "" && c.spec.Prefer == Whole {
		r.Prefer = mgscheduler.Whole
	}
	return r
}

func (a *agent) submit(now mgclock.Millis, c *call) *mgproblem.Problem {
	if problem := a.scheduler.Submit(now, a.request(c)); problem != nil {
		return problem
	}
	a.calls[c.sequence.ID] = c
	a.entry.fleet.Started(a.upstream.index)
	return nil
}

func (a *agent) poll(now mgclock.Millis, dst []verdict) []verdict {
	a.decisions = a.scheduler.Poll(now, a.decisions[:0])
	for _, decision := range a.decisions {
		c := a.calls[decision.ID]
		if decision.GiveUp != nil {
			a.forget(c)
		}
		dst = append(dst, verdict{
			call:    c,
			problem: decision.GiveUp,
		})
	}
	return dst
}

func (a *agent) withdraw(now mgclock.Millis, c *call) {
	if !a.scheduler.Withdraw(now, c.sequence.ID) {
		a.scheduler.Abandon(now, c.sequence.ID)
	}
	a.forget(c)
}

func (a *agent) forget(c *call) {
	delete(a.calls, c.sequence.ID)
	a.entry.fleet.Ended(a.upstream.index)
}
