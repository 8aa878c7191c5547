package mgagent

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgoperation"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgprefix"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgscheduler"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// Probe returns an offer: what the upstream could do for a request now. It
// reserves nothing; only Start's answer is binding.
func (a *Agent) Probe(_ context.Context, in *mgrpc.ProbeRequest) (*mgrpc.Offer, error) {
	a.spec.ObserveVersion(in.GetVersion(), in.GetEntry())
	now := a.spec.Clock.Now()
	offer := &mgrpc.Offer{
		Agent:       a.spec.Settings.Name,
		Incarnation: a.spec.Incarnation,
		Zone:        a.spec.Settings.Zone,
		Leaving:     a.isLeaving.Load(),
		Cached:      uint32(a.prefix.Cached(in.GetPrefix())),
		Stamp:       int64(now),
		Engine:      a.spec.Settings.UpstreamURL,
	}
	table := a.spec.Table()
	if table == nil {
		offer.Refused = string(mgproblem.NotReady)
		return offer, nil
	}
	offer.Version = table.Version()
	if a.engineDown.Load() || a.orders.lacksModel(in.GetModel()) {
		offer.Refused = string(mgproblem.Overloaded)
		offer.Retry = int64(pollInterval)
		return offer, nil
	}
	request := a.newRequest(table, "", in.GetAccount(), in.GetService(), in.GetModel())
	request.Prompt = int(in.GetPrompt())
	request.Cached = int(offer.GetCached())
	request.Deadline = now + mgclock.Millis(in.GetBudget())
	a.mu.Lock()
	estimate := a.scheduler.Offer(now, request)
	a.mu.Unlock()
	offer.Wait = int64(estimate.Wait)
	offer.Rest = int64(estimate.GenerationTime)
	offer.Headroom = estimate.Headroom
	offer.Running = uint32(estimate.Running)
	offer.Queued = uint32(estimate.Queued)
	if problem := estimate.Refused; problem != nil {
		offer.Refused = string(problem.Kind())
		offer.Retry = int64(problem.RetryAfter())
	}
	return offer, nil
}

// newRequest returns a scheduler request with the table's settings for the
// account and the service.
func (a *Agent) newRequest(table *mgtable.Table, id, account, service, model string) mgscheduler.Request {
	request := mgscheduler.Request{
		ID:      id,
		Account: account,
		Service: service,
		Model:   model,
		Weight:  1,
	}
	if row := table.Account(account); row != nil {
		request.Weight = row.Weight()
	}
	if row := table.Service(service); row != nil {
		request.Priority = row.Priority()
		request.Max = row.MaxOutput()
		if row.Preference() == mgtable.PreferWhole {
			request.Prefer = mgscheduler.Whole
		}
	}
	return request
}

// Start enqueues an attempt, or joins it if it was started before under the same
// id.
func (a *Agent) Start(ctx context.Context, in *mgrpc.StartRequest) (*mgrpc.StartReply, error) {
	a.spec.ObserveVersion(in.GetVersion(), in.GetEntry())
	reply := &mgrpc.StartReply{
		Incarnation: a.spec.Incarnation,
	}
	generation, problem := a.startAttempt(ctx, in)
	if problem != nil {
		a.spec.Metrics.Counter("refused").Inc(1)
		reply.Fault = faultFromProblem(problem)
		return reply, nil
	}
	reply.Generation = generation
	return reply, nil
}

func (a *Agent) startAttempt(ctx context.Context, in *mgrpc.StartRequest) (string, *mgproblem.Problem) {
	now := a.spec.Clock.Now()
	if in.GetIncarnation() != a.spec.Incarnation {
		return "", mgproblem.New(mgproblem.Incarnation, mgproblem.Unknown,
			"the agent was replaced since its offer", "ask for offers again")
	}
	deadline := now + mgclock.Millis(in.GetBudget())
	verdict := a.attempts.Begin(mgoperation.StartSpec{
		ID:         in.GetAttempt(),
		Stamp:      mgclock.Millis(in.GetStamp()),
		Deadline:   deadline,
		Generation: in.GetAttempt(),
	}, now)
	switch verdict.Action() {
	case mgoperation.Join:
		return verdict.Generation(), nil
	case mgoperation.Refuse:
		return "", verdict.Problem()
	}
	if problem := a.admit(ctx, in, deadline); problem != nil {
		a.attempts.Cancel(in.GetAttempt(), mgclock.Millis(in.GetStamp()), now)
		return "", problem
	}
	return in.GetAttempt(), nil
}

// admit checks and enqueues an attempt that is registered in the ledger. The
// ledger comes first because it knows whether a copy of the start was accepted
// before, and it prevents a later copy from making a refusal's "not run" false.
func (a *Agent) admit(ctx context.Context, in *mgrpc.StartRequest, deadline mgclock.Millis) *mgproblem.Problem {
	if problem := a.catchUp(ctx, in.GetVersion()); problem != nil {
		return problem
	}
	table := a.spec.Table()
	if table == nil {
		return mgproblem.New(mgproblem.NotReady, mgproblem.NotRun,
			"the agent has no configuration yet", "try another upstream")
	}
	if a.engineDown.Load() {
		return unreachableProblem()
	}
	if a.orders.lacksModel(in.GetModel()) {
		return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
			"the engine has not loaded the model", "try another upstream").WithRetryAfter(mgclock.Second)
	}
	if in.GetCopy() != "" {
		return a.takeOver(table, in, a.spec.Clock.Now())
	}
	return a.enqueue(table, in, a.spec.Clock.Now(), deadline)
}

// catchUpTimeout limits the wait for a newer version: fetching a page from the
// caller takes some tens of milliseconds.
const catchUpTimeout = 300 * mgclock.Millis(1)

// catchUp waits until this agent has the caller's version of the table. With an
// older one it would use an account's old weight, or refuse a service that is
// already in force at the entry.
func (a *Agent) catchUp(ctx context.Context, version uint64) *mgproblem.Problem {
	table := a.spec.Table()
	if a.spec.AwaitVersion == nil || table != nil && table.Version() >= version {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout.Duration())
	defer cancel()
	if err := a.spec.AwaitVersion(ctx, version); err != nil {
		return mgproblem.New(mgproblem.OutdatedVersion, mgproblem.NotRun,
			"the agent has an older configuration", "try another upstream").WithRetryAfter(catchUpTimeout).WithCause(err)
	}
	return nil
}

// unreachableProblem refuses work while the engine can't be reached. An agent
// whose engine is down has an empty waiting list and would make the best offer:
// without this refusal it would attract all requests and fail each.
func unreachableProblem() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
		"the engine can't be reached", "try another upstream").WithRetryAfter(pollInterval)
}

// enqueue submits the attempt to the scheduler.
func (a *Agent) enqueue(table *mgtable.Table, in *mgrpc.StartRequest, now, deadline mgclock.Millis) *mgproblem.Problem {
	request, g := a.prepare(table, in, now)
	request.Cached = a.prefix.Cached(in.GetPrefix())
	request.Deadline = deadline
	a.mu.Lock()
	problem := a.scheduler.Submit(now, request)
	if problem == nil {
		a.generations[g.id] = g
	} else {
		a.counts.refused++
	}
	a.mu.Unlock()
	a.wakePump()
	return problem
}

// prepare builds the scheduler's request and the generation of an attempt.
func (a *Agent) prepare(table *mgtable.Table, in *mgrpc.StartRequest, now mgclock.Millis) (mgscheduler.Request, *generation) {
	request := a.newRequest(table, in.GetAttempt(), in.GetAccount(), in.GetService(), in.GetModel())
	request.Prompt = mgprefix.Tokens(in.GetPrompt())
	if max := int(in.GetMax()); max > 0 {
		request.Max = max
	}
	spec := mgengine.StartSpec{
		ID:           in.GetAttempt(),
		Model:        in.GetModel(),
		Prompt:       in.GetPrompt(),
		PromptTokens: request.Prompt,
		Prefix:       in.GetPrefix(),
		MaxTokens:    request.Max,
		Priority:     request.Priority,
		CopyName:     in.GetCopy(),
	}
	g := newGeneration(in.GetAttempt(), in.GetAccount(), in.GetService(), spec, now)
	g.wholeOnly = in.GetWhole()
	g.tokens = in.GetHad()
	g.previousAgents = in.GetVia()
	return request, g
}

// Cancel cancels an attempt and attests its outcome.
func (a *Agent) Cancel(ctx context.Context, in *mgrpc.CancelRequest) (*mgrpc.CancelReply, error) {
	reply := &mgrpc.CancelReply{
		Incarnation: a.spec.Incarnation,
		Outcome:     string(mgproblem.Unknown),
	}
	id := in.GetAttempt()
	if id == "" {
		id = in.GetGeneration()
	}
	if in.GetIncarnation() == a.spec.Incarnation {
		reply.Outcome = string(a.attempts.Cancel(id, mgclock.Millis(in.GetStamp()), a.spec.Clock.Now()))
	}
	a.cancel(ctx, id)
	return reply, nil
}

// cancel cancels a waiting or running generation. One that this agent doesn't
// hold may have been started by a predecessor and still run in the engine, so it
// is cancelled there too.
func (a *Agent) cancel(ctx context.Context, id string) {
	now := a.spec.Clock.Now()
	a.mu.Lock()
	g := a.generations[id]
	withdrawn := g != nil && a.scheduler.Withdraw(now, id)
	a.mu.Unlock()
	if withdrawn {
		// Nothing else informs the ledger when a generation is swept because its
		// callers have left; its entry would be held forever.
		a.attempts.Cancel(id, now, now)
		g.finish("", cancelledProblem(mgproblem.NotRun), now)
		return
	}
	a.cancelAtEngine(ctx, id)
	if g != nil {
		g.finish("", cancelledProblem(mgproblem.Unknown), now)
		g.cancelStream()
	}
}

func cancelledProblem(outcome mgproblem.Outcome) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Cancelled, outcome, "the caller cancelled it", "send it again if it is still wanted")
}
