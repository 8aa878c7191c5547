package mgscheduler

import (
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgadmission"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgqueue"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// refusal returns the problem for which a request with a predicted wait is refused, or nil.
func (s *Scheduler) refusal(now mgclock.Millis, r *Request, output float64, predicted mgclock.Millis) *mgproblem.Problem {
	switch {
	case s.isLeaving:
		return problemLeaving()
	case !s.gate.CanFit(r.Prompt):
		return problemLarge()
	case !s.queue.HasCapacity(r.Account, r.Priority):
		return problemFull(s.retryWhenFull(r, predicted))
	}
	expiry := s.expiry(r, output)
	if expiry == 0 {
		return nil
	}
	wait := s.forecast.Correct(r.Priority, predicted)
	slack := expiry - now
	if slack < 0 || wait > slack {
		return problemUnmeetableDeadline(mgadmission.RetryAfter(wait, slack))
	}
	return nil
}

// retryWhenFull returns the retry time of a request for which the queue is full: by then
// half of the work ahead of it is done. RetryAfter adds an eighth of the wait.
func (s *Scheduler) retryWhenFull(r *Request, predicted mgclock.Millis) mgclock.Millis {
	wait := s.forecast.Correct(r.Priority, predicted)
	return mgadmission.RetryAfter(wait, wait/2)
}

// predict returns the time until a request would start, by the work ahead of it. Where
// nothing is ahead and it still doesn't fit, something must end first. That is estimated
// as the time for the request's own cost, as that is about the work of one answer.
func (s *Scheduler) predict(now mgclock.Millis, r *Request, output float64) mgclock.Millis {
	item := s.item(r, output)
	ahead := s.queue.WorkAhead(now, item)
	if ahead <= 0 && s.gate.CanAdmit(candidate(r, s.lengths.Curve(key(r)))) {
		return 0
	}
	return s.forecast.TimeFor(now, ahead+item.Cost)
}

// expiry returns the latest time at which a request must start, or 0.
func (s *Scheduler) expiry(r *Request, output float64) mgclock.Millis {
	first := s.forecast.FirstToken(r.uncached())
	expiry := mgclock.Millis(0)
	if r.Deadline > 0 {
		expiry = max(r.Deadline-first, 1)
	}
	if r.Due <= 0 {
		return expiry
	}
	latest := max(r.Due-first-s.forecast.OutputTime(output), 1)
	if expiry > 0 {
		latest = min(latest, expiry)
	}
	return latest
}

// next returns the request that starts next, if one may: the head of the queue or one that
// overtakes it.
func (s *Scheduler) next() (mgqueue.Item, bool) {
	item, ok := s.queue.Peek()
	if !ok || s.gate.Full() {
		return item, false
	}
	head := s.jobs[item.ID]
	if s.gate.CanAdmit(s.candidate(head)) {
		return item, true
	}
	budget := s.overtakingLimit()*item.Cost - head.overtakenByCost
	if budget <= 0 {
		return item, false
	}
	s.candidates = s.queue.Alternatives(s.candidates[:0])
	for _, other := range s.candidates {
		if other.Cost <= budget && s.gate.CanAdmit(s.candidate(s.jobs[other.ID])) {
			head.overtakenByCost += other.Cost
			return other, true
		}
	}
	return item, false
}

// start takes a request from the queue and starts it.
func (s *Scheduler) start(now mgclock.Millis, id string) Decision {
	item, _ := s.queue.Take(id)
	j := s.jobs[item.ID]
	s.forecast.RecordWait(j.request.Priority, j.predicted, now-j.arrivedAt)
	j.chargedCost = item.Cost
	s.markRunning(now, j)
	return Decision{
		ID: item.ID,
	}
}

// giveUp drops a request that can no longer be answered in time.
func (s *Scheduler) giveUp(now mgclock.Millis, item mgqueue.Item) Decision {
	j := s.jobs[item.ID]
	s.forecast.RecordWait(j.request.Priority, j.predicted, now-j.arrivedAt)
	wait := s.forecast.Correct(j.request.Priority, s.predict(now, &j.request, s.output(&j.request)))
	retry := mgadmission.RetryAfter(wait, item.Expiry-j.arrivedAt)
	s.dropJob(j)
	return Decision{
		ID:     item.ID,
		GiveUp: problemGivenUp(retry),
	}
}

// giveUpAll gives up all waiting requests, since they can start elsewhere.
func (s *Scheduler) giveUpAll(dst []Decision) []Decision {
	for {
		item, ok := s.queue.Pop()
		if !ok {
			return dst
		}
		s.dropJob(s.jobs[item.ID])
		dst = append(dst, Decision{
			ID:     item.ID,
			GiveUp: problemLeaving(),
		})
	}
}
