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
	id         string
	agent      *mgmember.Member
	offer      *mgrpc.Offer
	generation string
	sent       mgclock.Millis
	doubt      bool   // an attempt before this one may have run
	ended      func() // gives its place in the agent's count back, once
}

// probed is an agent's answer to a probe.
type probed struct {
	agent   *mgmember.Member
	place   int // in the fleet's routes, or none
	flights int // of this entry, when it was asked
	offer   *mgrpc.Offer
	err     error
}

// none is the place of an agent outside the fleet's routes.
const none = -1

// nextAttempt returns a name that no other attempt has.
func (e *Entry) nextAttempt() string {
	return e.epoch + "-" + strconv.FormatUint(e.number.Add(1), 36)
}

// begin starts a generation for the job at the best of a few agents, without
// those in avoid. A problem's outcome is NotRun only when every agent asked
// attested it.
func (e *Entry) begin(ctx context.Context, j *job, avoid map[string]bool) (attempt, *mgproblem.Problem) {
	random := e.random()
	fleet := e.fleet()
	offers, problem := e.probe(ctx, j, fleet, e.candidates(j, fleet, avoid, random))
	query := e.query(j)
	doubt := false
	for len(offers) > 0 {
		best := fleet.best(offers, query, random)
		made, refused := e.start(ctx, j, fleet, offers[best])
		if refused == nil {
			made.doubt = doubt
			return made, nil
		}
		doubt = doubt || refused.Outcome() != mgproblem.NotRun
		problem = sooner(problem, refused)
		offers = slices.Delete(offers, best, best+1)
	}
	return attempt{}, problem
}

// sooner returns what a caller is told whom several agents refused. The
// shortest wait counts; one doubt makes the outcome unknown.
func sooner(a, b *mgproblem.Problem) *mgproblem.Problem {
	switch {
	case a == nil || a.Outcome() == mgproblem.NotRun && b.Outcome() != mgproblem.NotRun:
		return b
	case b.Outcome() == a.Outcome() && b.Retry() > 0 && (a.Retry() == 0 || b.Retry() < a.Retry()):
		return b
	default:
		return a
	}
}

func crowded() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Crowded, mgproblem.NotRun,
		"no upstream can answer in time", "come back after the time in Retry-After").WithRetry(mgclock.Second)
}

// query says what the job needs.
func (e *Entry) query(j *job) mgrouting.Query {
	query := mgrouting.Query{
		Model:  j.model,
		Zone:   e.spec.Settings.Zone,
		Region: e.spec.Settings.Region,
		Prompt: j.tokens,
		Output: j.max,
	}
	if n := len(j.prefix); n > 0 {
		query.Prefix = j.prefix[min(n, affinityBlocks)-1]
	}
	return query
}

// affinityBlocks is how many leading blocks decide which engine has a prompt's
// prefix: 256 tokens hold the instructions that requests share, and not yet
// what tells them apart.
const affinityBlocks = 4

// candidates returns the agents to ask. When all of a model's agents are
// suspect they are asked all the same: the fault may be this entry's.
func (e *Entry) candidates(j *job, fleet *fleet, avoid map[string]bool, random *rand.Rand) []probed {
	var found []probed
	for _, place := range fleet.routes.Candidates(nil, e.query(j), random) {
		if member := fleet.members[place]; !avoid[member.Name()] {
			found = append(found, probed{
				agent:   member,
				place:   place,
				flights: fleet.routes.Flights(place),
			})
		}
	}
	if len(found) > 0 {
		return found
	}
	for _, member := range fleet.view.Upstreams(j.model) {
		if !avoid[member.Name()] && len(found) < mgrouting.DefaultCount {
			found = append(found, probed{
				agent: member,
				place: none,
			})
		}
	}
	return found
}

// best returns the index of the offer to take.
func (f *fleet) best(offers []probed, query mgrouting.Query, random *rand.Rand) int {
	list := make([]mgrouting.Offer, 0, len(offers))
	for _, offered := range offers {
		if offered.place == none {
			return 0
		}
		list = append(list, mgrouting.Offer{
			Upstream: offered.place,
			Wait:     mgclock.Millis(offered.offer.GetWait()),
			Rest:     mgclock.Millis(offered.offer.GetRest()),
			Uncached: query.Prompt - int(offered.offer.GetCached()),
			Headroom: offered.offer.GetHeadroom(),
			Running:  int(offered.offer.GetRunning()),
			Flights:  offered.flights,
		})
	}
	return max(f.routes.Choose(list, query, random), 0)
}

// probe asks the candidates in parallel and returns the good offers, and what
// the caller is told when there is none.
func (e *Entry) probe(request context.Context, j *job, fleet *fleet, candidates []probed) ([]probed, *mgproblem.Problem) {
	ctx, cancel := context.WithTimeout(request, mgclock.Millis(e.spec.Settings.Probe).Duration())
	defer cancel()
	answers := make(chan probed, len(candidates))
	question := &mgrpc.ProbeRequest{
		Account: j.account.Name(),
		Service: j.service.Name(),
		Model:   j.model,
		Prefix:  j.prefix,
		Prompt:  uint32(j.tokens),
		Version: j.table.Version(),
		Entry:   e.spec.Settings.Name,
		Budget:  int64(j.due - e.spec.Clock.Now()),
	}
	for _, candidate := range candidates {
		go func() {
			candidate.offer, candidate.err = e.client(candidate.agent).Probe(ctx, question)
			answers <- candidate
		}()
	}
	return e.gather(request, answers, len(candidates), fleet)
}

// enough is the number of good offers after which the entry doesn't wait for
// the slowest agent's: one slow agent must not delay every request.
const enough = 2

func (e *Entry) gather(request context.Context, answers <-chan probed, count int, fleet *fleet) ([]probed, *mgproblem.Problem) {
	var good []probed
	problem := crowded()
	for range count {
		answer := <-answers
		if answer.err != nil {
			e.failed(request, answer.agent)
			continue
		}
		offer := answer.offer
		e.spec.Heard(answer.agent.Name(), offer.GetIncarnation(), offer.GetLeaving())
		e.spec.Seen(offer.GetVersion(), answer.agent.Name())
		switch {
		case offer.GetLeaving() && answer.place != none:
			fleet.routes.Leave(answer.place)
		case offer.GetLeaving():
		case offer.GetRefused() != "":
			problem = sooner(problem, mgproblem.New(mgproblem.Kind(offer.GetRefused()), mgproblem.NotRun,
				"no upstream can answer in time", "come back after the time in Retry-After").
				WithRetry(mgclock.Millis(offer.GetRetry())))
		default:
			good = append(good, answer)
		}
		if len(good) >= enough {
			break
		}
	}
	return good, problem
}

// start asks one agent to start the job. An agent that doesn't answer is told
// to cancel, so that nothing runs for nobody.
func (e *Entry) start(ctx context.Context, j *job, fleet *fleet, chosen probed) (attempt, *mgproblem.Problem) {
	made := attempt{
		id:    e.nextAttempt(),
		sent:  e.spec.Clock.Now(),
		agent: chosen.agent,
		offer: chosen.offer,
		ended: fleet.fly(chosen.place),
	}
	budget := j.due - e.spec.Clock.Now()
	if budget <= 0 {
		made.ended()
		return made, late(mgproblem.NotRun)
	}
	callCtx, cancel := context.WithTimeout(ctx, callWait.Duration())
	defer cancel()
	reply, err := e.client(chosen.agent).Start(callCtx, &mgrpc.StartRequest{
		Attempt:     made.id,
		Incarnation: chosen.offer.GetIncarnation(),
		Account:     j.account.Name(),
		Service:     j.service.Name(),
		Model:       j.model,
		Prompt:      j.prompt,
		Max:         uint32(j.max),
		Budget:      int64(budget),
		Version:     j.table.Version(),
		Entry:       e.spec.Settings.Name,
		Whole:       !j.stream,
		Prefix:      j.prefix,
		Stamp:       chosen.offer.GetStamp(),
	})
	if err != nil {
		made.ended()
		e.failed(ctx, chosen.agent)
		go e.abandon(context.WithoutCancel(ctx), made)
		return made, mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
			"the agent did not answer", "send the request again").WithCause(err)
	}
	e.spec.Heard(chosen.agent.Name(), reply.GetIncarnation(), false)
	if fault := reply.GetFault(); fault != nil {
		made.ended()
		return made, problemOf(fault)
	}
	made.generation = reply.GetGeneration()
	return made, nil
}

// fly counts a request to an agent in and returns what counts it out.
func (f *fleet) fly(place int) func() {
	if place == none {
		return func() {}
	}
	f.routes.Started(place)
	return sync.OnceFunc(func() { f.routes.Ended(place) })
}

// callWait bounds a short call to an agent: its answer takes about a
// millisecond, a region away about a hundred.
const callWait = 2 * mgclock.Second

// abandon ends an attempt and returns what the agent attests of it.
func (e *Entry) abandon(ctx context.Context, made attempt) mgproblem.Outcome {
	ctx, cancel := context.WithTimeout(ctx, callWait.Duration())
	defer cancel()
	reply, err := e.client(made.agent).Cancel(ctx, &mgrpc.CancelRequest{
		Attempt:     made.id,
		Generation:  made.generation,
		Incarnation: made.offer.GetIncarnation(),
		Stamp:       made.offer.GetStamp(),
	})
	if err != nil {
		return mgproblem.Unknown
	}
	return mgproblem.Outcome(reply.GetOutcome())
}

func late(outcome mgproblem.Outcome) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Late, outcome,
		"the first token was not there in time", "come back after the time in Retry-After").WithRetry(mgclock.Second)
}

func problemOf(f *mgrpc.Fault) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Kind(f.GetKind()), mgproblem.Outcome(f.GetOutcome()),
		f.GetDetail(), f.GetRemedy()).WithRetry(mgclock.Millis(f.GetRetry()))
}
