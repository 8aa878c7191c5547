package mgentry

import (
	"context"
	"math/rand/v2"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// attempt is one start of a generation at one agent.
type attempt struct {
	id         string
	agent      Agent
	offer      *mgrpc.Offer
	generation string
}

// probed is an agent's answer to a probe.
type probed struct {
	agent Agent
	offer *mgrpc.Offer
	err   error
}

// nextAttempt returns a name that no other attempt has.
func (e *Entry) nextAttempt() string {
	return e.epoch + "-" + strconv.FormatUint(e.number.Add(1), 36)
}

// begin starts a generation for the job at the best of a few agents, without
// those in avoid. A problem's outcome is NotRun only when every agent asked
// attested it.
func (e *Entry) begin(ctx context.Context, j *job, avoid map[string]bool) (attempt, *mgproblem.Problem) {
	offers, retry := e.probe(ctx, j, e.candidates(j, avoid))
	for _, offer := range offers {
		made, problem := e.start(ctx, j, offer)
		if problem == nil {
			return made, nil
		}
		if problem.Retry() > 0 && (retry == 0 || problem.Retry() < retry) {
			retry = problem.Retry()
		}
	}
	return attempt{}, crowded(retry)
}

func crowded(retry mgclock.Millis) *mgproblem.Problem {
	if retry <= 0 {
		retry = mgclock.Second
	}
	return mgproblem.New(mgproblem.Crowded, mgproblem.NotRun,
		"no upstream can answer in time", "come back after the time in Retry-After").WithRetry(retry)
}

const probes = 3

func (e *Entry) candidates(j *job, avoid map[string]bool) []Agent {
	var found []Agent
	for _, agent := range e.spec.Agents() {
		if agent.holds(j.model) && !agent.Leaving && !avoid[agent.Name] {
			found = append(found, agent)
		}
	}
	rand.Shuffle(len(found), func(i, k int) { found[i], found[k] = found[k], found[i] })
	if len(found) > probes {
		found = found[:probes]
	}
	return found
}

// probe asks the candidates in parallel and returns the good offers, best
// first, and the shortest time after which a refused request may succeed.
func (e *Entry) probe(ctx context.Context, j *job, candidates []Agent) ([]probed, mgclock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, mgclock.Millis(e.spec.Settings.Probe).Duration())
	defer cancel()
	answers := make(chan probed, len(candidates))
	request := &mgrpc.ProbeRequest{
		Account: j.account.Name(),
		Service: j.service.Name(),
		Model:   j.model,
		Prefix:  j.prefix,
		Prompt:  uint32(j.tokens),
		Version: j.table.Version(),
		Budget:  int64(j.due - e.spec.Clock.Now()),
	}
	for _, agent := range candidates {
		go func() {
			offer, err := e.client(agent).Probe(ctx, request)
			answers <- probed{
				agent: agent,
				offer: offer,
				err:   err,
			}
		}()
	}
	return e.gather(answers, len(candidates))
}

func (e *Entry) gather(answers <-chan probed, count int) ([]probed, mgclock.Millis) {
	var good []probed
	retry := mgclock.Millis(0)
	for range count {
		answer := <-answers
		if answer.err != nil {
			e.spec.Suspect(answer.agent.Name)
			continue
		}
		e.spec.Heard(answer.agent.Name)
		e.spec.Seen(answer.offer.GetVersion())
		if answer.offer.GetRefused() != "" || answer.offer.GetLeaving() {
			if wait := mgclock.Millis(answer.offer.GetRetry()); wait > 0 && (retry == 0 || wait < retry) {
				retry = wait
			}
			continue
		}
		good = append(good, answer)
	}
	rank(good)
	return good, retry
}

func rank(good []probed) {
	for i := 1; i < len(good); i++ {
		for k := i; k > 0 && good[k].offer.GetWait() < good[k-1].offer.GetWait(); k-- {
			good[k], good[k-1] = good[k-1], good[k]
		}
	}
}

// start asks one agent to start the job. An agent that doesn't answer is told
// to cancel, so that nothing runs for nobody.
func (e *Entry) start(ctx context.Context, j *job, chosen probed) (attempt, *mgproblem.Problem) {
	made := attempt{
		id:    e.nextAttempt(),
		agent: chosen.agent,
		offer: chosen.offer,
	}
	budget := j.due - e.spec.Clock.Now()
	if budget <= 0 {
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
		Whole:       !j.stream,
		Prefix:      j.prefix,
		Stamp:       chosen.offer.GetStamp(),
	})
	if err != nil {
		e.spec.Suspect(chosen.agent.Name)
		go e.abandon(context.WithoutCancel(ctx), made)
		return made, mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
			"the agent did not answer", "send the request again").WithCause(err)
	}
	if fault := reply.GetFault(); fault != nil {
		return made, problemOf(fault)
	}
	made.generation = reply.GetGeneration()
	return made, nil
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
		"an agent refused", f.GetRemedy()).WithRetry(mgclock.Millis(f.GetRetry()))
}
