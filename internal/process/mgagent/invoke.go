package mgagent

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgservice"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgoperation"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Mint issues the id of an operation that only this incarnation may run.
func (a *Agent) Mint(_ context.Context, in *mgrpc.MintRequest) (*mgrpc.MintReply, error) {
	a.spec.ObserveVersion(in.GetVersion(), in.GetEntry())
	reply := &mgrpc.MintReply{
		Incarnation: a.spec.Incarnation,
	}
	if a.isLeaving.Load() {
		reply.Fault = faultFromProblem(leavingProblem())
		return reply, nil
	}
	reply.Operation = a.minter.Mint(in.GetAccount(), in.GetService(), a.spec.Clock.Now())
	return reply, nil
}

func leavingProblem() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Leaving, mgproblem.NotRun, "the upstream is leaving", "try another upstream")
}

// Invoke makes one call to a plain service. A call with an operation id is made
// once, however often it is requested.
func (a *Agent) Invoke(ctx context.Context, in *mgrpc.InvokeRequest) (*mgrpc.InvokeReply, error) {
	a.spec.ObserveVersion(in.GetVersion(), in.GetEntry())
	a.calls.Add(1)
	defer a.calls.Add(-1)
	var result mgoperation.Result
	var problem *mgproblem.Problem
	if in.GetOperation() == "" {
		result, problem = a.callService(ctx, in)
	} else {
		result, problem = a.runOperation(ctx, in)
	}
	reply := &mgrpc.InvokeReply{
		Incarnation: a.spec.Incarnation,
		Status:      uint32(result.Status),
		Mime:        result.Mime,
		Body:        result.Body,
		Outcome:     string(result.Outcome),
	}
	if problem != nil {
		reply.Fault = faultFromProblem(problem)
		reply.Outcome = string(problem.Outcome())
	}
	return reply, nil
}

// runOperation runs an operation at most once and answers every request for it.
func (a *Agent) runOperation(ctx context.Context, in *mgrpc.InvokeRequest) (mgoperation.Result, *mgproblem.Problem) {
	operation, err := mgoperation.Open(a.spec.Signer, in.GetAccount(), in.GetService(), in.GetOperation())
	if err != nil {
		return mgoperation.Result{}, mgproblem.From(err)
	}
	if problem := a.minter.Check(operation); problem != nil {
		return mgoperation.Result{}, problem
	}
	now := a.spec.Clock.Now()
	verdict := a.operations.Begin(mgoperation.StartSpec{
		ID:       in.GetOperation(),
		Stamp:    operation.Stamp(),
		Deadline: now + mgclock.Millis(in.GetBudget()),
		Digest:   callDigest(in),
	}, now)
	switch verdict.Action() {
	case mgoperation.Refuse:
		return mgoperation.Result{}, verdict.Problem()
	case mgoperation.Run:
		if a.isLeaving.Load() {
			// A leaving upstream gets no new work, whether minted before or not.
			// The tombstone prevents a repeated call from running later.
			a.operations.Cancel(in.GetOperation(), operation.Stamp(), now)
			return mgoperation.Result{}, leavingProblem()
		}
		// The call outlives the request of the entry: what was sent to the
		// service is recorded, so that the caller's next try gets its result.
		a.calls.Add(1)
		a.tasks.Go(func() {
			defer a.calls.Add(-1)
			a.executeOperation(context.WithoutCancel(ctx), in)
		})
	}
	return a.awaitResult(ctx, in.GetOperation(), verdict.Done())
}

// callDigest distinguishes different calls with the same operation id.
func callDigest(in *mgrpc.InvokeRequest) uint64 {
	hash := xxhash.New()
	for _, part := range []string{in.GetMethod(), in.GetPath(), in.GetMime()} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(in.GetBody())
	return hash.Sum64()
}

// executeOperation makes an operation's one call and records its outcome.
func (a *Agent) executeOperation(ctx context.Context, in *mgrpc.InvokeRequest) {
	ctx, cancel := context.WithTimeout(ctx, mgclock.Millis(in.GetBudget()).Duration())
	defer cancel()
	if !a.acquireSlot(ctx) {
		a.operations.Cancel(in.GetOperation(), a.spec.Clock.Now(), a.spec.Clock.Now())
		return
	}
	defer a.releaseSlot()
	if problem := a.operations.MarkSent(in.GetOperation(), a.spec.Clock.Now()); problem != nil {
		return
	}
	result, problem := a.sendCall(ctx, in)
	if problem != nil {
		result.Outcome = problem.Outcome()
	}
	a.operations.Finish(in.GetOperation(), result, a.spec.Clock.Now())
}

// awaitResult waits for an operation's end and returns its result.
func (a *Agent) awaitResult(ctx context.Context, id string, done <-chan struct{}) (mgoperation.Result, *mgproblem.Problem) {
	select {
	case <-done:
	case <-ctx.Done():
		return mgoperation.Result{}, unconfirmedProblem("the call is still running")
	}
	state, result := a.operations.Lookup(id)
	switch {
	case state == mgoperation.Tombstone:
		return result, busyProblem()
	case result.Outcome == mgproblem.NotRun:
		return result, mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
			"the service could not be reached", "mint a new operation and send it again").WithRetryAfter(mgclock.Second)
	case result.Outcome != mgproblem.Done:
		return result, unconfirmedProblem("the service did not answer")
	}
	return result, nil
}

func unconfirmedProblem(detail string) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown, detail,
		"ask again with the same operation, or look in the service whether it ran")
}

func busyProblem() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
		"the service's calls are all in use", "come back later").WithRetryAfter(mgclock.Second)
}

// callService makes a call that may be repeated.
func (a *Agent) callService(ctx context.Context, in *mgrpc.InvokeRequest) (mgoperation.Result, *mgproblem.Problem) {
	if a.isLeaving.Load() {
		return mgoperation.Result{}, leavingProblem()
	}
	ctx, cancel := context.WithTimeout(ctx, mgclock.Millis(in.GetBudget()).Duration())
	defer cancel()
	if !a.acquireSlot(ctx) {
		return mgoperation.Result{}, busyProblem()
	}
	defer a.releaseSlot()
	return a.sendCall(ctx, in)
}

// acquireSlot waits for one of the upstream's call slots until ctx ends.
func (a *Agent) acquireSlot(ctx context.Context) bool {
	select {
	case a.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *Agent) releaseSlot() { <-a.slots }

func (a *Agent) sendCall(ctx context.Context, in *mgrpc.InvokeRequest) (mgoperation.Result, *mgproblem.Problem) {
	reply, err := a.spec.Service.Call(ctx, mgservice.CallSpec{
		Method:    in.GetMethod(),
		Path:      in.GetPath(),
		Mime:      in.GetMime(),
		Body:      in.GetBody(),
		Operation: in.GetOperation(),
	})
	if err == nil {
		return mgoperation.Result{
			Outcome: mgproblem.Done,
			Status:  reply.Status,
			Mime:    reply.Mime,
			Body:    reply.Body,
		}, nil
	}
	if mgservice.KindOf(err) == mgservice.NotSent {
		return mgoperation.Result{}, mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
			"the service could not be reached", "try another upstream").WithRetryAfter(mgclock.Second).WithCause(err)
	}
	return mgoperation.Result{}, unconfirmedProblem("the service did not answer").WithCause(err)
}
