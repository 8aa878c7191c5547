package mgentry

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/proto"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbody"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgoperation"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgrouting"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const (
	// idempotencyKeyHeader names the operation that a caller repeats (Jena, Dalal
	// 2023, draft-ietf-httpapi-idempotency-key-header).
	idempotencyKeyHeader = "Idempotency-Key"
	// outcomeHeader reports the outcome of a call.
	outcomeHeader = "Outcome"
	// repeatInterval is the interval between requests to an agent for an operation's
	// result.
	repeatInterval = 100 * mgclock.Millis(1)
)

// call is a plain-service call that was validated against the table.
type call struct {
	caller
	service  *mgtable.Service
	request  *mgrpc.InvokeRequest
	deadline mgclock.Millis
}

// plainService returns the plain service that the request path names.
func (e *Entry) plainService(r *http.Request, c caller) (*mgtable.Service, *mgproblem.Problem) {
	name := chi.URLParam(r, "service")
	service := c.table.Service(name)
	if service == nil || service.Kind() != mgtable.Plain {
		return nil, mgproblem.New(mgproblem.NotFound, mgproblem.NotRun,
			"no plain service has the name "+name, "give the name of a plain service of the table")
	}
	if !c.account.AllowsService(name) {
		return nil, forbidden(name)
	}
	return service, nil
}

// mintOperation creates an operation for a service whose calls must not be
// repeated.
func (e *Entry) mintOperation(w http.ResponseWriter, r *http.Request, c caller) {
	service, problem := e.plainService(r, c)
	if problem != nil {
		mgproblem.Write(w, problem)
		return
	}
	operation, _, problem := e.mintAnywhere(r.Context(), c, service.Name())
	if problem != nil {
		mgproblem.Write(w, problem)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write([]byte(`{"operation":"` + operation + `"}` + "\n"))
}

// mintAnywhere mints an operation at any agent that runs the service. Minting
// runs nothing, so it is safe to try one agent after another.
func (e *Entry) mintAnywhere(ctx context.Context, c caller, service string) (string, *mgmember.Member, *mgproblem.Problem) {
	for _, host := range e.hosts(service) {
		reply, err := e.mintAtAgent(ctx, host.agent, c, service)
		if err != nil {
			e.reportFailed(ctx, host.agent)
			continue
		}
		if reply.GetFault() == nil {
			return reply.GetOperation(), host.agent, nil
		}
	}
	return "", nil, crowdedProblem()
}

func (e *Entry) mintAtAgent(ctx context.Context, agent *mgmember.Member, c caller, service string) (*mgrpc.MintReply, error) {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout.Duration())
	defer cancel()
	return e.client(agent).Mint(ctx, &mgrpc.MintRequest{
		Account: c.account.Name(),
		Service: service,
		Version: c.table.Version(),
		Entry:   e.spec.Settings.Name,
	})
}

// host is an agent whose upstream runs a service.
type host struct {
	agent *mgmember.Member
	fleet *fleet
	index int // in the fleet's routes, or noIndex
}

// hosts returns the agents whose upstreams run a service, sorted by the number
// of calls that this entry has in flight there, fewest first: calls accumulate
// at a slow upstream, which therefore gets fewer new ones.
func (e *Entry) hosts(service string) []host {
	fleet := e.fleet()
	query := mgrouting.Query{
		Model:  service,
		Zone:   e.spec.Settings.Zone,
		Region: e.spec.Settings.Region,
	}
	indexes := fleet.routes.Candidates(nil, query, e.newRandom())
	slices.SortStableFunc(indexes, func(a, b int) int { return fleet.routes.InFlight(a) - fleet.routes.InFlight(b) })
	var found []host
	for _, index := range indexes {
		found = append(found, host{
			agent: fleet.members[index],
			fleet: fleet,
			index: index,
		})
	}
	if len(found) > 0 {
		return found
	}
	for _, member := range fleet.view.Hosts(service) {
		found = append(found, host{
			agent: member,
			fleet: fleet,
			index: noIndex,
		})
	}
	return found
}

// callService handles a call of a plain service.
func (e *Entry) callService(w http.ResponseWriter, r *http.Request, c caller) {
	service, problem := e.plainService(r, c)
	if problem != nil {
		mgproblem.Write(w, problem)
		return
	}
	data, err := mgbody.ReadAll(r)
	if err == nil {
		// The body is held once more in the message to the agent.
		err = mgbudget.ClaimOf(r.Context()).Reserve(r.Context(), 2*int64(len(data)))
	}
	if err != nil {
		mgproblem.Write(w, bodyProblem(w, err))
		return
	}
	promise, operation, err := mgoperation.GuaranteeFor(e.spec.Signer, mgoperation.KeySpec{
		Account:    c.account.Name(),
		Service:    service.Name(),
		Key:        r.Header.Get(idempotencyKeyHeader),
		Idempotent: service.Repeatable() || safeMethod(r.Method),
	})
	if err != nil {
		mgproblem.Write(w, mgproblem.From(err))
		return
	}
	timeout := mgclock.Millis(e.spec.Settings.CallTimeout)
	call := &call{
		caller:   c,
		service:  service,
		deadline: e.spec.Clock.Now() + timeout,
		request: &mgrpc.InvokeRequest{
			Account: c.account.Name(),
			Service: service.Name(),
			Method:  r.Method,
			Path:    servicePath(r),
			Mime:    r.Header.Get("Content-Type"),
			Body:    data,
			Version: c.table.Version(),
			Entry:   e.spec.Settings.Name,
		},
	}
	reply, problem := e.invoke(r.Context(), call, promise, operation, r.Header.Get(idempotencyKeyHeader))
	e.writeReply(w, reply, problem)
}

// safeMethod reports whether a method may be repeated for any service (RFC 9110,
// 9.2.1).
func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// servicePath returns the path after the service's name, with the query.
func servicePath(r *http.Request) string {
	path := "/" + chi.URLParam(r, "*")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func (e *Entry) invoke(ctx context.Context, call *call, promise mgoperation.Guarantee, operation mgoperation.Operation, key string) (*mgrpc.InvokeReply, *mgproblem.Problem) {
	switch promise {
	case mgoperation.Pinned:
		call.request.Operation = key
		return e.invokePinned(ctx, call, operation.Agent())
	case mgoperation.Single:
		minted, agent, problem := e.mintAnywhere(ctx, call.caller, call.service.Name())
		if problem != nil {
			return nil, problem
		}
		call.request.Operation = minted
		reply, problem := e.invokePinned(ctx, call, agent.Upstream())
		return reply, unkeyedProblem(problem)
	default:
		return e.invokeRepeatable(ctx, call)
	}
}

// unkeyedProblem returns the problem to report to a caller that sent no key. The
// caller can't repeat the operation, which this entry minted and nobody else
// knows; another request would be another write.
func unkeyedProblem(problem *mgproblem.Problem) *mgproblem.Problem {
	if problem == nil || problem.Outcome() != mgproblem.Unknown {
		return problem
	}
	return mgproblem.New(problem.Kind(), mgproblem.Unknown, problem.Detail(),
		"look in the service whether it ran; mint an operation first to be able to ask again").WithRetryAfter(problem.RetryAfter())
}

// invokePinned makes an operation's call at the only agent that may run it.
// Repeating the call at that agent is safe: it joins the first call.
func (e *Entry) invokePinned(ctx context.Context, call *call, upstream string) (*mgrpc.InvokeReply, *mgproblem.Problem) {
	for e.spec.Clock.Now() < call.deadline && ctx.Err() == nil {
		agent, ok := e.agentByUpstream(upstream)
		if ok {
			reply, err := e.invokeAt(ctx, call, agent)
			if err == nil {
				return reply, replyProblem(reply)
			}
			e.reportFailed(ctx, agent)
		}
		e.spec.Clock.Sleep(ctx, repeatInterval)
	}
	return nil, mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
		"the agent that owns the operation did not answer", "ask again with the same operation")
}

// invokeRepeatable makes a call that may run more than once. It tries another
// upstream if one can't be reached and the service's retry budget allows it.
func (e *Entry) invokeRepeatable(ctx context.Context, call *call) (*mgrpc.InvokeReply, *mgproblem.Problem) {
	var problem *mgproblem.Problem
	budget := e.budgets.Of(call.service.Name())
	hosts := e.hosts(call.service.Name())
	for i, host := range hosts {
		if i > 0 && !budget.Spend() {
			break
		}
		answer := e.invokeHedged(ctx, call, host, hosts[i+1:])
		if answer.isGood() {
			budget.Earn(mgretry.Ratio)
			return answer.reply, nil
		}
		problem = mergeRefusals(problem, answer.problem())
	}
	if problem == nil {
		problem = crowdedProblem()
	}
	return nil, problem
}

func (e *Entry) invokeAt(ctx context.Context, call *call, agent *mgmember.Member) (*mgrpc.InvokeReply, error) {
	remaining := call.deadline - e.spec.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	request := proto.CloneOf(call.request)
	request.Budget = int64(remaining)
	reply, err := e.client(agent).Invoke(ctx, request)
	if err != nil {
		return nil, err
	}
	e.spec.ReportAnnouncement(agent.Name(), reply.GetIncarnation(), false)
	return reply, nil
}

func replyProblem(reply *mgrpc.InvokeReply) *mgproblem.Problem {
	if reply.GetFault() == nil {
		return nil
	}
	return problemFromFault(reply.GetFault())
}

func (e *Entry) writeReply(w http.ResponseWriter, reply *mgrpc.InvokeReply, problem *mgproblem.Problem) {
	if problem != nil {
		mgproblem.Write(w, problem)
		return
	}
	if mime := reply.GetMime(); mime != "" && !strings.ContainsAny(mime, "\r\n") {
		w.Header().Set("Content-Type", mime)
	}
	w.Header().Set(outcomeHeader, reply.GetOutcome())
	w.WriteHeader(int(reply.GetStatus()))
	_, _ = w.Write(reply.GetBody())
}
