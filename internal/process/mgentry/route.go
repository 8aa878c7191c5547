package mgentry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgrouting"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// attempt is one start of a generation at one agent.
type attempt struct {
	id              string
	agent           *mgmember.Member
	offer           *mgrpc.Offer
	generation      string
	sentAt          mgclock.Millis
	priorMayHaveRun bool   // an attempt before this one may have run
	release         func() // gives its place in the agent's count back, once
}

// probeResult is an agent's answer to a probe.
type probeResult struct {
	agent    *mgmember.Member
	index    int // in the fleet's routes, or none
	inFlight int // of this entry, when it was asked
	offer    *mgrpc.Offer
	err      error
}

// noIndex is the place of an agent outside the fleet's routes.
const noIndex = -1

// newAttemptID returns a name that no other attempt has.
func (e *Entry) newAttemptID() string {
	return e.epoch + "-" + strconv.FormatUint(e.attemptCount.Add(1), 36)
}

// startGeneration starts a generation for the job at the best of a few agents, without
// those in avoid. A problem's outcome is NotRun only when every agent asked
// attested it.
func (e *Entry) startGeneration(ctx context.Context, j *job, avoid map[string]bool) (attempt, *mgproblem.Problem) {
	random := e.newRandom()
	fleet := e.fleet()
	offers, problem := e.probe(ctx, j, fleet, e.candidates(j, fleet, avoid, random))
	query := e.query(j)
	doubt := false
	for len(offers) > 0 {
		best := fleet.best(offers, query, random)
		attempt, refused := e.startAt(ctx, j, fleet, offers[best])
		if refused == nil {
			attempt.priorMayHaveRun = doubt
			return attempt, nil
		}
		doubt = doubt || refused.Outcome() != mgproblem.NotRun
		problem = mergeRefusals(problem, refused)
		offers = slices.Delete(offers, best, best+1)
	}
	return attempt{}, problem
}

// mergeRefusals returns what a caller is told whom several agents refused. The
// shortest wait counts; one doubt makes the outcome unknown.
func mergeRefusals(a, b *mgproblem.Problem) *mgproblem.Problem {
	switch {
	case a == nil || a.Outcome() == mgproblem.NotRun && b.Outcome() != mgproblem.NotRun:
		return b
	case b.Outcome() == a.Outcome() && b.Retry() > 0 && (a.Retry() == 0 || b.Retry() < a.Retry()):
		return b
	default:
		return a
	}
}

func crowdedProblem() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Crowded, mgproblem.NotRun,
		"no upstream can answer in time", "come back after the time in Retry-After").WithRetry(mgclock.Second)
}

// query says what the job needs.
func (e *Entry) query(j *job) mgrouting.Query {
	query := mgrouting.Query{
		Model:  j.model,
		Zone:   e.spec.Settings.Zone,
		Region: e.spec.Settings.Region,
		Prompt: j.promptTokens,
		Output: j.maxTokens,
	}
	if n := len(j.prefixHashes); n > 0 {
		query.Prefix = j.prefixHashes[min(n, affinityBlocks)-1]
	}
	return query
}

// affinityBlocks is how many leading blocks decide which engine has a prompt's
// prefix: 256 tokens hold the instructions that requests share, and not yet
// what tells them apart.
const affinityBlocks = 4

// candidates returns the agents to ask. When all of a model's agents are
// suspect they are asked all the same: the fault may be this entry's.
func (e *Entry) candidates(j *job, fleet *fleet, avoid map[string]bool, random *rand.Rand) []probeResult {
	var found []probeResult
	for _, index := range fleet.routes.Candidates(nil, e.query(j), random) {
		if member := fleet.members[index]; !avoid[member.Name()] {
			found = append(found, probeResult{
				agent:    member,
				index:    index,
				inFlight: fleet.routes.Flights(index),
			})
		}
	}
	if len(found) > 0 {
		return found
	}
	for _, member := range fleet.view.Upstreams(j.model) {
		if !avoid[member.Name()] && len(found) < mgrouting.DefaultCount {
			found = append(found, probeResult{
				agent: member,
				index: noIndex,
			})
		}
	}
	return found
}

// best returns the index of the offer to take.
func (f *fleet) best(offers []probeResult, query mgrouting.Query, random *rand.Rand) int {
	list := make([]mgrouting.Offer, 0, len(offers))
	for _, offered := range offers {
		if offered.index == noIndex {
			return 0
		}
		list = append(list, mgrouting.Offer{
			Upstream: offered.index,
			Wait:     mgclock.Millis(offered.offer.GetWait()),
			Rest:     mgclock.Millis(offered.offer.GetRest()),
			Uncached: query.Prompt - int(offered.offer.GetCached()),
			Headroom: offered.offer.GetHeadroom(),
			Running:  int(offered.offer.GetRunning()),
			Flights:  offered.inFlight,
		})
	}
	return max(f.routes.Choose(list, query, random), 0)
}

// probe asks the candidates in parallel and returns the good offers, and what
// the caller is told when there is none.
func (e *Entry) probe(request context.Context, j *job, fleet *fleet, candidates []probeResult) ([]probeResult, *mgproblem.Problem) {
	ctx, cancel := context.WithTimeout(request, mgclock.Millis(e.spec.Settings.Probe).Duration())
	defer cancel()
	answers := make(chan probeResult, len(candidates))
	question := &mgrpc.ProbeRequest{
		Account: j.account.Name(),
		Service: j.service.Name(),
		Model:   j.model,
		Prefix:  j.prefixHashes,
		Prompt:  uint32(j.promptTokens),
		Version: j.table.Version(),
		Entry:   e.spec.Settings.Name,
		Budget:  int64(j.firstTokenDeadline - e.spec.Clock.Now()),
	}
	for _, candidate := range candidates {
		go func() {
			candidate.offer, candidate.err = e.client(candidate.agent).Probe(ctx, question)
			answers <- candidate
		}()
	}
	return e.collectOffers(request, answers, len(candidates), fleet)
}

// enoughOffers is the number of good offers after which the entry doesn't wait for
// the slowest agent's: one slow agent must not delay every request.
const enoughOffers = 2

func (e *Entry) collectOffers(request context.Context, answers <-chan probeResult, count int, fleet *fleet) ([]probeResult, *mgproblem.Problem) {
	var good []probeResult
	problem := crowdedProblem()
	for range count {
		answer := <-answers
		if answer.err != nil {
			e.reportFailed(request, answer.agent)
			continue
		}
		offer := answer.offer
		e.spec.Heard(answer.agent.Name(), offer.GetIncarnation(), offer.GetLeaving())
		e.spec.Seen(offer.GetVersion(), answer.agent.Name())
		switch {
		case offer.GetLeaving() && answer.index != noIndex:
			fleet.routes.Leave(answer.index)
		case offer.GetLeaving():
		case offer.GetRefused() != "":
			problem = mergeRefusals(problem, mgproblem.New(mgproblem.Kind(offer.GetRefused()), mgproblem.NotRun,
				"no upstream can answer in time", "come back after the time in Retry-After").
				WithRetry(mgclock.Millis(offer.GetRetry())))
		default:
			good = append(good, answer)
		}
		if len(good) >= enoughOffers {
			break
		}
	}
	return good, problem
}

// startAt asks one agent to startAt the job. An agent that doesn't answer is told
// to cancel, so that nothing runs for nobody.
func (e *Entry) startAt(ctx context.Context, j *job, fleet *fleet, chosen probeResult) (attempt, *mgproblem.Problem) {
	attempt := attempt{
		id:      e.newAttemptID(),
		sentAt:  e.spec.Clock.Now(),
		agent:   chosen.agent,
		offer:   chosen.offer,
		release: fleet.trackRequest(chosen.index),
	}
	budget := j.firstTokenDeadline - e.spec.Clock.Now()
	if budget <= 0 {
		attempt.release()
		return attempt, lateProblem(mgproblem.NotRun)
	}
	callCtx, cancel := context.WithTimeout(ctx, shortCallTimeout.Duration())
	defer cancel()
	reply, err := e.client(chosen.agent).Start(callCtx, &mgrpc.StartRequest{
		Attempt:     attempt.id,
		Incarnation: chosen.offer.GetIncarnation(),
		Account:     j.account.Name(),
		Service:     j.service.Name(),
		Model:       j.model,
		Prompt:      j.prompt,
		Max:         uint32(j.maxTokens),
		Budget:      int64(budget),
		Version:     j.table.Version(),
		Entry:       e.spec.Settings.Name,
		Whole:       !j.stream,
		Prefix:      j.prefixHashes,
		Stamp:       chosen.offer.GetStamp(),
	})
	if err != nil {
		attempt.release()
		e.reportFailed(ctx, chosen.agent)
		go e.cancelAttempt(context.WithoutCancel(ctx), attempt)
		return attempt, mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
			"the agent did not answer", "send the request again").WithCause(err)
	}
	e.spec.Heard(chosen.agent.Name(), reply.GetIncarnation(), false)
	if fault := reply.GetFault(); fault != nil {
		attempt.release()
		return attempt, problemFromFault(fault)
	}
	attempt.generation = reply.GetGeneration()
	return attempt, nil
}

// trackRequest counts a request to an agent in and returns what counts it out.
func (f *fleet) trackRequest(index int) func() {
	if index == noIndex {
		return func() {}
	}
	f.routes.Started(index)
	return sync.OnceFunc(func() { f.routes.Ended(index) })
}

// shortCallTimeout bounds a short call to an agent: its answer takes about a
// millisecond, a region away about a hundred.
const shortCallTimeout = 2 * mgclock.Second

// cancelAttempt ends an attempt and returns what the agent attests of it.
func (e *Entry) cancelAttempt(ctx context.Context, attempt attempt) mgproblem.Outcome {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout.Duration())
	defer cancel()
	reply, err := e.client(attempt.agent).Cancel(ctx, &mgrpc.CancelRequest{
		Attempt:     attempt.id,
		Generation:  attempt.generation,
		Incarnation: attempt.offer.GetIncarnation(),
		Stamp:       attempt.offer.GetStamp(),
	})
	if err != nil {
		return mgproblem.Unknown
	}
	return mgproblem.Outcome(reply.GetOutcome())
}

func lateProblem(outcome mgproblem.Outcome) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Late, outcome,
		"the first token was not there in time", "come back after the time in Retry-After").WithRetry(mgclock.Second)
}

func problemFromFault(f *mgrpc.Fault) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Kind(f.GetKind()), mgproblem.Outcome(f.GetOutcome()),
		f.GetDetail(), f.GetRemedy()).WithRetry(mgclock.Millis(f.GetRetry()))
}
