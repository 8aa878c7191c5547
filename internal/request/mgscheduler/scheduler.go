package mgscheduler

import (
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgadmission"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglength"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgqueue"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// charge is the number of tokens by which an account is charged ahead once an
// answer runs longer than expected: often enough that a long answer can't take
// more than its share, seldom enough to cost nothing per token.
const charge = 64

// DefaultPassing is the cost of the requests that may pass one which waits for
// memory, in its own cost. The memory that they take comes back before much of
// that which it waits for becomes free, and what they cost bounds the wait of
// the one that is passed. Without passing, lookups among very long reports get
// 6.4 answers in time a second, with 0.25 to 2 they get 6.8 (trials at z 1.5).
// With 1 the index of fairness under heavy accounts is 0.978, with 0.5 it is
// 0.981 at the same answers and 1.3 preemptions per 100 in place of 2.1.
const DefaultPassing = 0.5

// spares is the most freed jobs kept for reuse.
const spares = 1024

// A Scheduler decides for one upstream. The zero Scheduler has the defaults of
// a Spec and is ready for use.
type Scheduler struct {
	spec        Spec
	queue       mgqueue.Queue
	gate        mgadmission.Gate
	forecast    mgadmission.Forecast
	lengths     mglength.Estimator
	jobs        map[string]*job // that wait or run
	old         []*job
	leaving     bool
	others      []mgqueue.Item
	preemptions int64
}

// job is a request that waits or runs.
type job struct {
	request   Request
	came      mgclock.Millis
	predicted mgclock.Millis // wait, without the correction for its level
	started   mgclock.Millis
	last      mgclock.Millis // when it last produced tokens
	passed    float64        // cost of the requests that passed it
	charged   float64        // cost that its account was charged
	answer    mglength.Answer
	share     mgadmission.Share
	running   bool
	told      int // tokens produced
}

// New returns a scheduler for an idle upstream.
func New(spec Spec) *Scheduler {
	return &Scheduler{
		spec: spec,
		queue: *mgqueue.New(mgqueue.Spec{
			Bound: spec.Queue,
			Boost: spec.Boost,
			Loan:  spec.Policy.Loan,
		}),
		gate: *mgadmission.NewGate(mgadmission.Spec{
			Memory: spec.Memory,
			Batch:  spec.Batch,
			Rule:   spec.Policy.Rule,
			Free:   spec.Policy.Free,
			Steady: spec.Policy.Steady,
			Whole:  spec.Policy.Whole,
		}),
	}
}

// Running returns the number of requests that were started and have not ended.
func (s *Scheduler) Running() int { return s.gate.Running() }

// Queued returns the number of requests that wait.
func (s *Scheduler) Queued() int { return s.queue.Len() }

// Memory returns the tokens of memory that the running requests hold.
func (s *Scheduler) Memory() int64 { return s.gate.Used() }

// Preemptions returns how often a running request lost its memory.
func (s *Scheduler) Preemptions() int64 { return s.preemptions }

// Submit queues a request, or returns the problem for which it is refused.
func (s *Scheduler) Submit(now mgclock.Millis, r Request) *mgproblem.Problem {
	if s.jobs[r.ID] != nil {
		return problemDuplicate(r.ID)
	}
	output := s.output(&r)
	predicted := s.predict(now, &r, output)
	if p := s.refusal(now, &r, output, predicted); p != nil {
		return p
	}
	err := s.queue.Push(now, s.item(&r, output))
	if err != nil {
		return problemFull(s.halfway(&r, predicted)).WithCause(err)
	}
	j := s.job()
	j.request = r
	j.came = now
	j.predicted = predicted
	s.jobs[r.ID] = j
	return nil
}

// Offer tells what a request would meet now. It takes no place for it.
func (s *Scheduler) Offer(now mgclock.Millis, r Request) Offer {
	output := s.output(&r)
	predicted := s.predict(now, &r, output)
	return Offer{
		Wait:     s.forecast.Corrected(r.Priority, predicted) + s.forecast.FirstToken(r.uncached()),
		Headroom: s.gate.Headroom(),
		Running:  s.gate.Running(),
		Queued:   s.queue.Len(),
		Refused:  s.refusal(now, &r, output, predicted),
	}
}

// Poll appends to dst what is given up and what starts now, in this order.
func (s *Scheduler) Poll(now mgclock.Millis, dst []Decision) []Decision {
	if s.leaving {
		return s.handBack(dst)
	}
	for {
		item, ok := s.queue.Expire(now)
		if !ok {
			break
		}
		dst = append(dst, s.giveUp(now, item))
	}
	for {
		item, ok := s.next()
		if !ok {
			return dst
		}
		dst = append(dst, s.start(now, item.ID))
	}
}

// NextWake returns when Poll has something to do without an event, or 0.
func (s *Scheduler) NextWake(mgclock.Millis) mgclock.Millis {
	return s.queue.NextExpiry()
}

// Withdraw drops a request that still waits. It reports whether it did, so
// that the request certainly has not run.
func (s *Scheduler) Withdraw(_ mgclock.Millis, id string) bool {
	if _, ok := s.queue.Remove(id); !ok {
		return false
	}
	s.drop(s.jobs[id])
	return true
}

// Progress tells that a running request has produced a number of tokens in
// all.
func (s *Scheduler) Progress(now mgclock.Millis, id string, produced int) {
	j := s.jobs[id]
	if j == nil || !j.running || produced <= j.told {
		return
	}
	s.forecast.Done(now, s.work(now, j, produced))
	j.told = produced
	j.answer.Progress(produced)
	if s.gate.Grow(&j.share, produced) {
		s.gate.Weigh(&j.share, j.answer.Curve())
	}
	if cost := j.cost(); cost > j.charged {
		s.charge(j, cost+charge)
	}
}

// Preempted tells that the upstream took a running request's memory away. The
// memory stays counted, as the request takes it again before it ends.
func (s *Scheduler) Preempted(_ mgclock.Millis, id string) {
	if j := s.jobs[id]; j != nil && j.running {
		s.preemptions++
	}
}

// Finish tells that a running request came to its end.
func (s *Scheduler) Finish(now mgclock.Millis, id string) {
	j := s.jobs[id]
	if j == nil || !j.running {
		return
	}
	if limit := j.request.Max; limit <= 0 || j.told < limit {
		j.answer.End(j.told)
	}
	s.end(now, j)
}

// Abandon tells that a running request was cut off, by its caller or by a
// fault. Its length says nothing.
func (s *Scheduler) Abandon(now mgclock.Millis, id string) {
	if j := s.jobs[id]; j != nil && j.running {
		s.end(now, j)
	}
}

// Used tells the upstream's own count of used memory, which lags.
func (s *Scheduler) Used(_ mgclock.Millis, tokens int64) {
	s.gate.Reported(tokens)
}

// Limit sets the most answers at a time from now on, 0 for the default: an
// engine that warms up takes part of its batch. What runs beyond it goes on.
func (s *Scheduler) Limit(_ mgclock.Millis, batch int) { s.gate.Limit(batch) }

// Leaving refuses new work from now on, and the next Poll hands back what
// waits. What runs goes on.
func (s *Scheduler) Leaving(mgclock.Millis) { s.leaving = true }

// refusal returns why a request with a predicted wait can't be taken, or nil.
func (s *Scheduler) refusal(now mgclock.Millis, r *Request, output float64, predicted mgclock.Millis) *mgproblem.Problem {
	switch {
	case s.leaving:
		return problemLeaving()
	case !s.gate.Holds(r.Prompt):
		return problemLarge()
	case !s.queue.Room(r.Account, r.Priority):
		return problemFull(s.halfway(r, predicted))
	}
	expiry := s.expiry(r, output)
	if expiry == 0 {
		return nil
	}
	wait := s.forecast.Corrected(r.Priority, predicted)
	slack := expiry - now
	if slack < 0 || wait > slack {
		return problemCrowded(mgadmission.Retry(wait, slack))
	}
	return nil
}

// item returns a request as the queue sees it.
func (s *Scheduler) item(r *Request, output float64) mgqueue.Item {
	return mgqueue.Item{
		ID:       r.ID,
		Account:  r.Account,
		Weight:   r.Weight,
		Priority: r.Priority,
		Cost:     mgadmission.Cost(r.uncached(), output),
		Due:      r.due(),
		Expiry:   s.expiry(r, output),
	}
}

// expiry returns when a request must start at the latest, or 0.
func (s *Scheduler) expiry(r *Request, output float64) mgclock.Millis {
	first := s.forecast.FirstToken(r.uncached())
	expiry := mgclock.Millis(0)
	if r.Deadline > 0 {
		expiry = max(r.Deadline-first, 1)
	}
	if r.Due <= 0 {
		return expiry
	}
	latest := max(r.Due-first-s.forecast.Rest(output), 1)
	if expiry > 0 {
		latest = min(latest, expiry)
	}
	return latest
}

// predict returns the time until a request would start by the work ahead of
// it. Where nothing is ahead and yet it doesn't fit, something must end first,
// about the work of one answer.
func (s *Scheduler) predict(now mgclock.Millis, r *Request, output float64) mgclock.Millis {
	item := s.item(r, output)
	ahead := s.queue.Ahead(now, item)
	if ahead <= 0 && s.gate.Admits(candidate(r, s.lengths.Curve(key(r)))) {
		return 0
	}
	return s.forecast.Wait(now, ahead+item.Cost)
}

// halfway returns when a request that finds no place can come back: half of
// what is ahead of it has gone by then.
func (s *Scheduler) halfway(r *Request, predicted mgclock.Millis) mgclock.Millis {
	wait := s.forecast.Corrected(r.Priority, predicted)
	return mgadmission.Retry(wait, wait/2)
}

// output returns the expected length of a request's answer.
func (s *Scheduler) output(r *Request) float64 {
	return s.lengths.Curve(key(r)).Mean(0, r.Max)
}

// candidate returns a waiting job as the gate sees it.
func (s *Scheduler) candidate(j *job) mgadmission.Candidate {
	return candidate(&j.request, s.lengths.Curve(key(&j.request)))
}

// next returns the request that starts next, if one may: the head of the queue
// or one that passes it.
func (s *Scheduler) next() (mgqueue.Item, bool) {
	item, ok := s.queue.Peek()
	if !ok || s.gate.Full() {
		return item, false
	}
	head := s.jobs[item.ID]
	if s.gate.Admits(s.candidate(head)) {
		return item, true
	}
	left := s.passing()*item.Cost - head.passed
	if left <= 0 {
		return item, false
	}
	s.others = s.queue.Others(s.others[:0])
	for _, other := range s.others {
		if other.Cost <= left && s.gate.Admits(s.candidate(s.jobs[other.ID])) {
			head.passed += other.Cost
			return other, true
		}
	}
	return item, false
}

// start takes a request out of the queue.
func (s *Scheduler) start(now mgclock.Millis, id string) Decision {
	item, _ := s.queue.Take(id)
	j := s.jobs[item.ID]
	s.forecast.Waited(j.request.Priority, j.predicted, now-j.came)
	j.running = true
	j.started = now
	j.charged = item.Cost
	j.answer = s.lengths.Begin(key(&j.request))
	s.gate.Enter(&j.share, candidate(&j.request, j.answer.Curve()))
	s.forecast.Busy(now, true)
	return Decision{
		ID: item.ID,
	}
}

// giveUp answers a request that can no longer be answered in time.
func (s *Scheduler) giveUp(now mgclock.Millis, item mgqueue.Item) Decision {
	j := s.jobs[item.ID]
	s.forecast.Waited(j.request.Priority, j.predicted, now-j.came)
	wait := s.forecast.Corrected(j.request.Priority, s.predict(now, &j.request, s.output(&j.request)))
	retry := mgadmission.Retry(wait, item.Expiry-j.came)
	s.drop(j)
	return Decision{
		ID:     item.ID,
		GiveUp: problemLate(retry),
	}
}

// handBack gives up everything that waits, as it can start elsewhere.
func (s *Scheduler) handBack(dst []Decision) []Decision {
	for {
		item, ok := s.queue.Pop()
		if !ok {
			return dst
		}
		s.drop(s.jobs[item.ID])
		dst = append(dst, Decision{
			ID:     item.ID,
			GiveUp: problemLeaving(),
		})
	}
}

// work returns the cost that a job's progress adds, and takes note of the pace
// of its tokens.
func (s *Scheduler) work(now mgclock.Millis, j *job, produced int) float64 {
	cost := float64(produced - j.told)
	last := j.last
	j.last = now
	if j.told > 0 {
		s.forecast.Next(produced-j.told, now-last)
		return cost
	}
	s.forecast.First(j.request.uncached(), now-j.started)
	return cost + mgadmission.Cost(j.request.uncached(), 0)
}

// charge makes cost what the job's account has been charged.
func (s *Scheduler) charge(j *job, cost float64) {
	s.queue.Charge(j.request.Account, j.request.Weight, cost-j.charged)
	j.charged = cost
}

// end forgets a running job and settles what it cost.
func (s *Scheduler) end(now mgclock.Millis, j *job) {
	s.charge(j, j.cost())
	s.gate.Leave(&j.share)
	s.drop(j)
	if s.gate.Running() > 0 {
		return
	}
	s.forecast.Busy(now, false)
	s.queue.Rest()
}

// cost returns what the job has cost until now.
func (j *job) cost() float64 {
	return mgadmission.Cost(j.request.uncached(), float64(j.told))
}

// passing returns the cost that may pass a request, in its own cost.
func (s *Scheduler) passing() float64 {
	if p := s.spec.Policy.Passing; p != 0 {
		return p
	}
	return DefaultPassing
}

// job returns an empty job.
func (s *Scheduler) job() *job {
	if s.jobs == nil {
		s.jobs = make(map[string]*job)
	}
	last := len(s.old) - 1
	if last < 0 {
		return new(job)
	}
	j := s.old[last]
	s.old = s.old[:last]
	return j
}

func (s *Scheduler) drop(j *job) {
	j.answer.Stop()
	delete(s.jobs, j.request.ID)
	*j = job{}
	if len(s.old) < spares {
		s.old = append(s.old, j)
	}
}

func candidate(r *Request, curve *mglength.Curve) mgadmission.Candidate {
	return mgadmission.Candidate{
		Prompt: r.Prompt,
		Max:    r.Max,
		Whole:  r.Prefer == Whole,
		Curve:  curve,
	}
}

func key(r *Request) mglength.Key {
	return mglength.Key{
		Account: r.Account,
		Service: r.Service,
		Model:   r.Model,
	}
}
