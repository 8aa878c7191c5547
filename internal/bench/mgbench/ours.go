package mgbench

import (
	"fmt"
	"math/rand/v2"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgrouting"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgscheduler"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Names that the bench's one entry and its upstreams go by.
const (
	modelName  = "model"
	zoneName   = "a"
	regionName = "r"
)

// entry is what an entry does with the decision packages: it asks a few
// upstreams about a call and takes one of their offers.
type entry struct {
	fleet      *mgrouting.Fleet
	upstreams  []*upstream
	agents     []*agent
	random     *rand.Rand
	candidates []int
	offers     []mgrouting.Offer
}

// agent is the gate of ours: a scheduler beside one engine.
type agent struct {
	entry     *entry
	upstream  *upstream
	scheduler *mgscheduler.Scheduler
	accounts  []AccountSpec
	prefer    Preference // in place of the services' own, unless empty
	calls     map[string]*call
	decisions []mgscheduler.Decision
}

// oursPolicy drives the decision packages with a set of settings. A preference
// that isn't empty goes before those of the services.
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

// oursPolicies returns ours as it is set by default, and the same queue,
// routes and refusals over plainer rules on memory, which shows what the
// estimate of lengths is worth.
func oursPolicies() []policy {
	return []policy{
		oursPolicy("ours", "the decision packages", settingsByName("ours"), ""),
		oursWithSettings("mark-0.1"),
		oursWithSettings("mark-0.2"),
		oursWithSettings("now"),
	}
}

// frontPolicies returns the settings between many answers and few preemptions,
// and ours when all services have one preference. They run by name only.
func tradeOffPolicies() []policy {
	front := []policy{
		oursPolicy("ours/steady", "ours, all services prefer steady", settingsByName("ours"), Steady),
		oursPolicy("ours/whole", "ours, all services prefer whole", settingsByName("ours"), Whole),
	}
	for _, name := range mgscheduler.Names() {
		if name != "ours" {
			front = append(front, oursWithSettings(name))
		}
	}
	return front
}

// oursNamed returns ours with another named set of settings.
func oursWithSettings(name string) policy {
	return oursPolicy("ours/"+name, "the decision packages, set as "+name, settingsByName(name), "")
}

func settingsByName(name string) mgscheduler.Policy {
	settings, err := mgscheduler.Named(name)
	if err != nil {
		panic("mgbench: " + err.Error())
	}
	return settings
}

// route asks the candidates and takes an offer. When all refuse, the caller is
// told the earliest time to come back.
func (e *entry) route(now mgclock.Millis, c *call) (*upstream, *mgproblem.Problem) {
	for i, u := range e.upstreams {
		if u.isLeaving {
			e.fleet.Leave(i)
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
		offer.Flights = e.fleet.Flights(i)
		e.offers = append(e.offers, offer)
		if refused != nil && (problem == noUpstream || refused.Retry() < problem.Retry()) {
			problem = refused
		}
	}
	best := e.fleet.Choose(e.offers, query, e.random)
	if best < 0 {
		return nil, problem
	}
	return e.upstreams[e.offers[best].Upstream], nil
}

// affinity returns the hash of the prompt's first block, which the account's
// requests to the service share, or 0 for a prompt shorter than a block.
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
			Batch:  spec.Batch,
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
			a.scheduler.Preempted(now, c.sequence.ID)
		},
		finish: func(now mgclock.Millis, c *call) {
			a.scheduler.Finish(now, c.sequence.ID)
			a.forget(c)
		},
		withdraw: a.withdraw,
		priority: func(c *call) int { return c.spec.Priority },
	}
}

// offer asks the scheduler what c would meet here.
func (a *agent) offer(now mgclock.Millis, c *call) (mgrouting.Offer, *mgproblem.Problem) {
	r := a.request(c)
	o := a.scheduler.Offer(now, r)
	return mgrouting.Offer{
		Upstream: a.upstream.index,
		Wait:     o.Wait,
		Rest:     o.Rest,
		Uncached: r.Prompt - r.Cached,
		Headroom: o.Headroom,
		Running:  o.Running,
		Refused:  o.Refused != nil,
	}, o.Refused
}

// request returns c as the scheduler sees it. The engine's cache stands for
// the agent's record of cache events.
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
