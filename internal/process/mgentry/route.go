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
	nextCrashNumber uint64 // of the quarantine, when the attempt was sent
	priorMayHaveRun bool   // an earlier attempt may have run
	release         func() // removes the attempt from the agent's in-flight count; idempotent
}

// probeResult is an agent's reply to a probe.
type probeResult struct {
	agent    *mgmember.Member
	index    int // in the fleet's routes, or noIndex
	inFlight int // requests from this entry when the probe was sent
	offer    *mgrpc.Offer
	err      error
}

// noIndex is the index of an agent that is not in the fleet's routes.
const noIndex = -1

// newAttemptID returns an ID that no other attempt has.
func (e *Entry) newAttemptID() string {
	return e.epoch + "-" + strconv.FormatUint(e.attemptCount.Add(1), 36)
}

// startGeneration starts a generation for the job at the agent with the best
// offer, excluding those in avoid. A problem's outcome is NotRun only if every
// agent that was asked attested it.
func (e *Entry) startGeneration(ctx context.Context, j *job, avoid map[string]bool) (attempt, *mgproblem.Problem) {
	random := e.newRandom()
	fleet := e.fleet()
	offers, problem := e.probe(ctx, j, fleet, e.candidates(j, fleet, avoid, random))
	query := e.query(j)
	mayHaveRun := false
	for len(offers) > 0 {
		best := fleet.best(offers, query, random)
		attempt, refused := e.startAt(ctx, j, fleet, offers[best])
		if refused == nil {
			attempt.priorMayHaveRun = mayHaveRun
			return attempt, nil
		}
		mayHaveRun = mayHaveRun || refused.Outcome() != mgproblem.NotRun
		problem = mergeRefusals(problem, refused)
		offers = slices.Delete(offers, best, best+1)
	}
	return attempt{}, problem
}

// mergeRefusals returns the problem to report when several agents refused. The
// shortest retry delay wins; a single unknown outcome makes the result unknown.
func mergeRefusals(a, b *mgproblem.Problem) *mgproblem.Problem {
	switch {
	case a == nil || a.Outcome() == mgproblem.NotRun && b.Outcome() != mgproblem.NotRun:
		return b
	case b.Outcome() == a.Outcome() && b.RetryAfter() > 0 && (a.RetryAfter() == 0 || b.RetryAfter() < a.RetryAfter()):
		return b
	default:
		return a
	}
}

func crowdedProblem() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
		"no upstream can answer in time", "come back after the time in Retry-After").WithRetryAfter(mgclock.Second)
}

// query returns the job's requirements for routing.
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

// affinityBlocks is the number of leading blocks that decide which engine has a
// prompt's prefix cached. They hold 256 tokens: enough for instructions that
// requests share, too few for the part in which they differ.
const affinityBlocks = 4

// candidates returns the agents to probe. If all agents of a model are suspect,
// they are probed nevertheless: the fault may lie with this entry.
func (e *Entry) candidates(j *job, fleet *fleet, avoid map[string]bool, random *rand.Rand) []probeResult {
	var found []probeResult
	for _, index := range fleet.routes.Candidates(nil, e.query(j), random) {
		if member := fleet.members[index]; !avoid[member.Name()] {
			found = append(found, probeResult{
				agent:    member,
				index:    index,
				inFlight: fleet.routes.InFlight(index),
			})
		}
	}
	if len(found) > 0 {
		return found
	}
	for _, member := range fleet.view.Upstreams(j.model) {
		if !avoid[member.Name()] && len(found) < mgrouting.DefaultCandidates {
			found = append(found, probeResult{
				agent: member,
				index: noIndex,
			})
		}
	}
	return found
}

// best returns the index of the best offer.
func (f *fleet) best(offers []probeResult, query mgrouting.Query, random *rand.Rand) int {
	list := make([]mgrouting.Offer, 0, len(offers))
	for _, offered := range offers {
		if offered.index == noIndex {
			return 0
		}
		list = append(list, mgrouting.Offer{
			Upstream:       offered.index,
			Wait:           mgclock.Millis(offered.offer.GetWait()),
			GenerationTime: mgclock.Millis(offered.offer.GetRest()),
			Uncached:       query.Prompt - int(offered.offer.GetCached()),
			Headroom:       offered.offer.GetHeadroom(),
			Running:        int(offered.offer.GetRunning()),
			InFlight:       offered.inFlight,
		})
	}
	return max(f.routes.Choose(list, query, random), 0)
}

// probe asks the candidates for offers in parallel. It returns the good offers,
// and the problem to report if there are none.
func (e *Entry) probe(request context.Context, j *job, fleet *fleet, candidates []probeResult) ([]probeResult, *mgproblem.Problem) {
	ctx, cancel := context.WithTimeout(request, mgclock.Millis(e.spec.Settings.ProbeTimeout).Duration())
	defer cancel()
	replies := make(chan probeResult, len(candidates))
	probeRequest := &mgrpc.ProbeRequest{
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
			candidate.offer, candidate.err = e.client(candidate.agent).Probe(ctx, probeRequest)
			replies <- candidate
		}()
	}
	return e.collectOffers(request, replies, len(candidates), fleet)
}

// enoughOffers is the number of good offers after which the entry stops waiting
// for further replies, so that one slow agent doesn't delay every request.
const enoughOffers = 2

func (e *Entry) collectOffers(request context.Context, replies <-chan probeResult, count int, fleet *fleet) ([]probeResult, *mgproblem.Problem) {
	var good []probeResult
	problem := crowdedProblem()
	for range count {
		reply := <-replies
		if reply.err != nil {
			e.reportFailed(request, reply.agent)
			continue
		}
		offer := reply.offer
		e.spec.ReportAnnouncement(reply.agent.Name(), offer.GetIncarnation(), offer.GetLeaving())
		e.spec.ObserveVersion(offer.GetVersion(), reply.agent.Name())
		switch {
		case offer.GetLeaving() && reply.index != noIndex:
			fleet.routes.MarkLeaving(reply.index)
		case offer.GetLeaving():
		case offer.GetRefused() != "":
			problem = mergeRefusals(problem, mgproblem.New(mgproblem.Kind(offer.GetRefused()), mgproblem.NotRun,
				"no upstream can answer in time", "come back after the time in Retry-After").
				WithRetryAfter(mgclock.Millis(offer.GetRetry())))
		default:
			good = append(good, reply)
		}
		if len(good) >= enoughOffers {
			break
		}
	}
	return good, problem
}

// startAt starts the job at one agent. If the agent doesn't reply, the attempt
// is cancelled so that no generation runs without a reader.
func (e *Entry) startAt(ctx context.Context, j *job, fleet *fleet, chosen probeResult) (attempt, *mgproblem.Problem) {
	attempt := attempt{
		id:              e.newAttemptID(),
		sentAt:          e.spec.Clock.Now(),
		nextCrashNumber: e.spec.Quarantine.NextNumber(),
		agent:           chosen.agent,
		offer:           chosen.offer,
		release:         fleet.trackRequest(chosen.index),
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
	e.spec.ReportAnnouncement(chosen.agent.Name(), reply.GetIncarnation(), false)
	if fault := reply.GetFault(); fault != nil {
		attempt.release()
		return attempt, problemFromFault(fault)
	}
	attempt.generation = reply.GetGeneration()
	return attempt, nil
}

// trackRequest counts a request to an agent as in flight. The function it
// returns ends that count.
func (f *fleet) trackRequest(index int) func() {
	if index == noIndex {
		return func() {}
	}
	f.routes.Started(index)
	return sync.OnceFunc(func() { f.routes.Ended(index) })
}

// shortCallTimeout bounds a short call to an agent. A reply takes about a
// millisecond, from another region about a hundred.
const shortCallTimeout = 2 * mgclock.Second

// cancelAttempt cancels an attempt and returns the outcome that the agent
// attests.
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
	return mgproblem.New(mgproblem.DeadlineExceeded, outcome,
		"the first token was not there in time", "come back after the time in Retry-After").WithRetryAfter(mgclock.Second)
}

func problemFromFault(f *mgrpc.Fault) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Kind(f.GetKind()), mgproblem.Outcome(f.GetOutcome()),
		f.GetDetail(), f.GetRemedy()).WithRetryAfter(mgclock.Millis(f.GetRetry()))
}
