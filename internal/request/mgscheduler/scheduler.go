package mgscheduler

import (
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgadmission"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglength"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgqueue"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// chargeStep is the number of tokens by which an account is charged in advance once an
// answer runs longer than expected. It is small enough that a long answer can't take more
// than its share, and large enough to cost nothing per token.
const chargeStep = 64

// DefaultOvertaking limits the cost of the requests that may overtake one that waits for
// memory, as a multiple of that one's cost. They give back the memory that they take before
// much of the memory that the waiting request needs has become free, and the limit on their
// cost bounds its wait. Without overtaking, lookups wait among very long reports; with a
// higher limit, heavy accounts get more than their share.
const DefaultOvertaking = 0.5

// maxSpares is the maximum number of freed jobs kept for reuse.
const maxSpares = 1024

// A Scheduler schedules the requests of one upstream. The zero Scheduler has the defaults
// of a Spec and is ready for use.
type Scheduler struct {
	spec        Spec
	queue       mgqueue.Queue
	gate        mgadmission.Gate
	forecast    mgadmission.Forecast
	lengths     mglength.Estimator
	jobs        map[string]*job // waiting and running, by ID
	freeJobs    []*job
	isLeaving   bool
	candidates  []mgqueue.Item
	preemptions int64
}

// New returns a scheduler for an idle upstream.
func New(spec Spec) *Scheduler {
	return &Scheduler{
		spec: spec,
		queue: *mgqueue.New(mgqueue.Spec{
			Capacity: spec.Queue,
			Boost:    spec.Boost,
			Loan:     spec.Policy.Loan,
		}),
		gate: *mgadmission.NewGate(mgadmission.Spec{
			Memory: spec.Memory,
			Batch:  spec.Batch,
			Rule:   spec.Policy.Rule,
			Free:   spec.Policy.Free,
			Short:  spec.Policy.Short,
			Steady: spec.Policy.Steady,
			Whole:  spec.Policy.Whole,
		}),
	}
}

// Running returns the number of running requests.
func (s *Scheduler) Running() int { return s.gate.Running() }

// Queued returns the number of waiting requests.
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
		return problemFull(s.retryWhenFull(&r, predicted)).WithCause(err)
	}
	j := s.job()
	j.request = r
	j.arrivedAt = now
	j.predicted = predicted
	s.jobs[r.ID] = j
	return nil
}

// Offer returns the prospects of a request if it were submitted now. It reserves nothing.
func (s *Scheduler) Offer(now mgclock.Millis, r Request) Offer {
	output := s.output(&r)
	predicted := s.predict(now, &r, output)
	return Offer{
		Wait:           s.forecast.Correct(r.Priority, predicted) + s.forecast.FirstToken(r.uncached()),
		GenerationTime: s.forecast.OutputTime(output),
		Headroom:       s.gate.Headroom(),
		Running:        s.gate.Running(),
		Queued:         s.queue.Len(),
		Refused:        s.refusal(now, &r, output, predicted),
	}
}

// Poll appends to dst first the requests that are given up and then those that start now.
func (s *Scheduler) Poll(now mgclock.Millis, dst []Decision) []Decision {
	if s.isLeaving {
		return s.giveUpAll(dst)
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

// Resume adds a request that the upstream runs already and for which it has produced a
// number of tokens, as an agent that replaces another one finds it. The request counts
// against memory and batch from now on, and its account pays for the remaining tokens.
func (s *Scheduler) Resume(now mgclock.Millis, r Request, produced int) {
	if s.jobs[r.ID] != nil {
		return
	}
	j := s.job()
	j.request = r
	j.arrivedAt = now
	j.produced = produced
	j.chargedCost = j.cost()
	s.jobs[r.ID] = j
	s.markRunning(now, j)
	j.answer.SkipTo(produced)
	s.gate.RecordProgress(&j.allocation, produced)
	s.gate.UpdateProjection(&j.allocation, j.answer.Curve())
}

// NextWake returns the time at which Poll has something to do even without an event, or 0.
func (s *Scheduler) NextWake(mgclock.Millis) mgclock.Millis {
	return s.queue.NextExpiry()
}

// Withdraw removes a waiting request. It reports whether it did; if so, the request
// certainly has not run.
func (s *Scheduler) Withdraw(_ mgclock.Millis, id string) bool {
	if _, ok := s.queue.Remove(id); !ok {
		return false
	}
	s.dropJob(s.jobs[id])
	return true
}

// Progress records the total number of tokens that a running request has produced.
func (s *Scheduler) Progress(now mgclock.Millis, id string, produced int) {
	j := s.jobs[id]
	if j == nil || !j.isRunning || produced <= j.produced {
		return
	}
	s.forecast.RecordWork(now, s.progressCost(now, j, produced))
	j.produced = produced
	j.answer.Progress(produced)
	if s.gate.RecordProgress(&j.allocation, produced) {
		s.gate.UpdateProjection(&j.allocation, j.answer.Curve())
	}
	if cost := j.cost(); cost > j.chargedCost {
		s.charge(j, cost+chargeStep)
	}
}

// RecordPreemption records that the upstream took a running request's memory away. The memory
// stays counted, since the request takes it again before it ends.
func (s *Scheduler) RecordPreemption(_ mgclock.Millis, id string) {
	if j := s.jobs[id]; j != nil && j.isRunning {
		s.preemptions++
	}
}

// Finish records that a running request is complete.
func (s *Scheduler) Finish(now mgclock.Millis, id string) {
	j := s.jobs[id]
	if j == nil || !j.isRunning {
		return
	}
	if limit := j.request.Max; limit <= 0 || j.produced < limit {
		j.answer.End(j.produced)
	}
	s.finishJob(now, j)
}

// Remaining returns the expected time until a running request is complete.
func (s *Scheduler) Remaining(id string) mgclock.Millis {
	j := s.jobs[id]
	if j == nil || !j.isRunning {
		return 0
	}
	remaining := s.forecast.OutputTime(j.answer.Curve().MeanRemaining(j.produced, j.request.Max))
	if j.produced == 0 {
		remaining += s.forecast.FirstToken(j.request.uncached())
	}
	return remaining
}

// Abandon records that a running request was cut off, by its caller or by a fault. Its
// length isn't used for estimates.
func (s *Scheduler) Abandon(now mgclock.Millis, id string) {
	if j := s.jobs[id]; j != nil && j.isRunning {
		s.finishJob(now, j)
	}
}

// ReportUsed records the upstream's own count of used memory, which lags.
func (s *Scheduler) ReportUsed(_ mgclock.Millis, tokens int64) {
	s.gate.RecordUsed(tokens)
}

// SetBatch sets the maximum number of running answers, 0 for the default: an engine that
// warms up takes only part of its batch. Answers beyond a lower limit keep running.
func (s *Scheduler) SetBatch(_ mgclock.Millis, batch int) { s.gate.SetBatch(batch) }

// Leave refuses new requests from now on, and the next Poll gives up those that wait.
// Running requests continue.
func (s *Scheduler) Leave(mgclock.Millis) { s.isLeaving = true }

// overtakingLimit returns the limit on the cost that may overtake a request, as a multiple
// of its own cost.
func (s *Scheduler) overtakingLimit() float64 {
	if p := s.spec.Policy.Overtaking; p != 0 {
		return p
	}
	return DefaultOvertaking
}
