package mgscheduler

import (
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgadmission"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglength"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgqueue"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// job is a waiting or running request.
type job struct {
	request         Request
	arrivedAt       mgclock.Millis
	predicted       mgclock.Millis // wait, without the correction for its priority
	startedAt       mgclock.Millis
	lastProgress    mgclock.Millis // when it last produced tokens
	overtakenByCost float64        // cost of the requests that overtook it
	chargedCost     float64        // cost charged to its account
	answer          mglength.Answer
	allocation      mgadmission.Allocation
	isRunning       bool
	produced        int // tokens
}

// job returns an empty job.
func (s *Scheduler) job() *job {
	if s.jobs == nil {
		s.jobs = make(map[string]*job)
	}
	last := len(s.freeJobs) - 1
	if last < 0 {
		return new(job)
	}
	j := s.freeJobs[last]
	s.freeJobs = s.freeJobs[:last]
	return j
}

// markRunning counts a job as running.
func (s *Scheduler) markRunning(now mgclock.Millis, j *job) {
	j.isRunning = true
	j.startedAt = now
	j.lastProgress = now
	j.answer = s.lengths.Begin(key(&j.request))
	s.gate.Admit(&j.allocation, candidate(&j.request, j.answer.Curve()))
	s.forecast.SetBusy(now, true)
}

// dropJob removes a job and keeps it for reuse.
func (s *Scheduler) dropJob(j *job) {
	j.answer.Stop()
	delete(s.jobs, j.request.ID)
	*j = job{}
	if len(s.freeJobs) < maxSpares {
		s.freeJobs = append(s.freeJobs, j)
	}
}

// progressCost returns the cost that a job's progress adds, and records the speed of its
// tokens.
func (s *Scheduler) progressCost(now mgclock.Millis, j *job, produced int) float64 {
	cost := float64(produced - j.produced)
	last := j.lastProgress
	j.lastProgress = now
	if j.produced > 0 {
		s.forecast.RecordTokens(produced-j.produced, now-last)
		return cost
	}
	s.forecast.RecordFirstToken(j.request.uncached(), now-j.startedAt)
	return cost + mgadmission.Cost(j.request.uncached(), 0)
}

// charge corrects the total that the job's account has been charged for the job, up or
// down, so that it equals cost.
func (s *Scheduler) charge(j *job, cost float64) {
	s.queue.Charge(j.request.Account, j.request.Weight, cost-j.chargedCost)
	j.chargedCost = cost
}

// finishJob removes a running job and charges its final cost.
func (s *Scheduler) finishJob(now mgclock.Millis, j *job) {
	s.charge(j, j.cost())
	s.gate.Release(&j.allocation)
	s.dropJob(j)
	if s.gate.Running() > 0 {
		return
	}
	s.forecast.SetBusy(now, false)
	s.queue.EndBusyPeriod()
}

// cost returns the job's cost until now.
func (j *job) cost() float64 {
	return mgadmission.Cost(j.request.uncached(), float64(j.produced))
}

// item returns a request as an item of the queue.
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
	return s.lengths.Curve(key(r)).MeanRemaining(0, r.Max)
}

// candidate returns a waiting job as a candidate for the gate.
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
