package mgscheduler

import (
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgadmission"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglength"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgqueue"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

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

// run counts a job as running.
func (s *Scheduler) run(now mgclock.Millis, j *job) {
	j.running = true
	j.started = now
	j.last = now
	j.answer = s.lengths.Begin(key(&j.request))
	s.gate.Enter(&j.share, candidate(&j.request, j.answer.Curve()))
	s.forecast.Busy(now, true)
}

// drop forgets a job.
func (s *Scheduler) drop(j *job) {
	j.answer.Stop()
	delete(s.jobs, j.request.ID)
	*j = job{}
	if len(s.old) < spares {
		s.old = append(s.old, j)
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

// output returns the expected length of a request's answer.
func (s *Scheduler) output(r *Request) float64 {
	return s.lengths.Curve(key(r)).Mean(0, r.Max)
}

// candidate returns a waiting job as the gate sees it.
func (s *Scheduler) candidate(j *job) mgadmission.Candidate {
	return candidate(&j.request, s.lengths.Curve(key(&j.request)))
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
