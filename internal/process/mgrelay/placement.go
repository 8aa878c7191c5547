package mgrelay

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const (
	// maxWaitGoalFactor bounds the time from a generation's arrival to its
	// placement, as a multiple of the route's latency goal. Callers disconnect after
	// four times the goal; one that is refused before that can retry.
	maxWaitGoalFactor = 3
	// firstEventSlack is the time from the grant of a placement to the first event,
	// without the time to read the generation's own prompt (prefill). It covers
	// network round trips, a step, and prompts of others that are read before.
	firstEventSlack = 100 * mgclock.Millis(1)
)

// awaitPlacement requests the placement of a generation's first attempt, and waits
// until an upstream has memory for it or the request is given up. If decided is
// true, the caller of awaitPlacement sends the request to host, or answers it with
// x.problem if that is set. If decided is false, the entry chooses an upstream itself:
// the request isn't a generation's first attempt or gets no placements, no process
// could be asked, or the upstream that was assigned can't be used now.
func (y *Relay) awaitPlacement(ctx context.Context, x *exchange) (host Host, decided bool) {
	if y.spec.AwaitPlacement == nil || x.attempts+x.failedDials > 0 || x.call.Route.Kind() != mgtable.Stream || x.size.prompt == 0 {
		return Host{}, false
	}
	if x.origin != (mgorigin.Origin{}) {
		// The process that assigns placements doesn't know which software version a
		// stream needs.
		return Host{}, false
	}
	hosts := y.spec.Upstreams(x.service)
	if upstreamCapacity(x.call.Table, x.service) == 0 || len(hosts) == 0 || x.homes.excludesAny(hosts) {
		// The process that assigns placements doesn't know about homes and might
		// choose an upstream that the request may not use.
		return Host{}, false
	}
	if _, allDelayed := y.backoffLeft(x); allDelayed {
		x.problem = y.noCapacityProblem(x)
		return Host{}, true
	}
	grant, ok := y.awaitGrant(ctx, x)
	if !ok {
		return Host{}, x.problem != nil
	}
	for _, host := range y.spec.Upstreams(x.service) { // may have changed during the wait
		if host.Name == grant.Place {
			// Upstreams send Retry-After to this process, and the process that
			// assigns placements doesn't know about the backoffs of other processes.
			if !y.beginAttempt(x, host) {
				return Host{}, false
			}
			if !y.takePermit(ctx, x, host) {
				x.endAttempt(false)
				return Host{}, false
			}
			return host, true
		}
	}
	if grant.Place == "" {
		x.problem = mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
			"no upstream had memory for the generation in time", "send it again after the time given").WithRetryAfter(grant.Retry)
		return Host{}, true
	}
	return Host{}, false
}

// awaitGrant waits for the grant of a placement, or sets x.problem if this process stops too soon for
// the answer. It returns false if there is no grant.
func (y *Relay) awaitGrant(ctx context.Context, x *exchange) (grant mgwaitlist.Grant, ok bool) {
	startedAt := y.spec.Clock.Now()
	waitCtx, stopWaiting := context.WithCancel(ctx)
	defer stopWaiting()
	if y.spec.TimeLeft != nil {
		go y.endWaitBeforeStop(waitCtx, stopWaiting, x)
	}
	grant, ok = y.spec.AwaitPlacement(waitCtx, x.service, y.waitingRequest(x))
	y.spec.Metrics.Histogram("relay.wait.ms").Update(int64(y.spec.Clock.Now() - startedAt))
	if !ok && waitCtx.Err() != nil && ctx.Err() == nil {
		y.spec.Metrics.Counter("relay.wait.stopped").Inc(1)
		x.problem = stoppingProblem()
	}
	return grant, ok
}

// stopCheckInterval is the interval at which a request that waits for a placement checks
// whether this process is stopping.
const stopCheckInterval = 250 * mgclock.Millis(1)

// endWaitBeforeStop calls stopWaiting once waiting is of no use before this process ends. Without
// it, a request that waits when the stop begins is held until the process ends, and its caller
// doesn't learn that nothing ran.
func (y *Relay) endWaitBeforeStop(ctx context.Context, stopWaiting func(), x *exchange) {
	for !y.endsTooLate(x) && !y.waitsTooLong(x) {
		if !y.spec.Clock.Sleep(ctx, stopCheckInterval) {
			return
		}
	}
	stopWaiting()
}

// waitsTooLong reports whether this process ends before the answer to a request that is sent now is of
// any use to its caller: a whole answer, or a part that the caller may resume elsewhere.
func (y *Relay) waitsTooLong(x *exchange) bool {
	if y.spec.StopsIn == nil {
		return false
	}
	needed := x.expectedDuration()
	if x.call.Route.Resumes() {
		needed = firstEventTime
	}
	left, stopping := y.spec.StopsIn()
	return stopping && left < needed
}

// endsTooLate reports whether this process is stopping and is expected to end before the answer
// to a request that is sent now.
func (y *Relay) endsTooLate(x *exchange) bool {
	left, stopping := y.spec.TimeLeft()
	return stopping && x.expectedDuration() > left
}

// stoppingProblem answers a request that this process can't complete before it stops.
func stoppingProblem() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Leaving, mgproblem.NotRun,
		"this entry ends before the answer would", "send the request again on a new connection").WithRetryAfter(retryDelay)
}

// waitingRequest describes the request for the waiting list.
func (y *Relay) waitingRequest(x *exchange) mgwaitlist.Request {
	promptTime := mgclock.Millis(float64(x.size.prompt)/mgload.ReadRate) + firstEventSlack
	end := x.startedAt + maxWaitGoalFactor*x.call.Route.LatencyGoal()
	if x.call.Route.LatencyGoal() == 0 {
		end = x.startedAt + x.timeout
	}
	if y.spec.Admission {
		end = min(end, x.startedAt+x.timeout-x.expectedDuration())
	}
	return mgwaitlist.Request{
		Name:     x.id,
		Account:  x.accountName(),
		Rank:     x.call.Route.Priority(),
		Need:     x.size.memory(),
		Output:   x.size.output,
		Duration: promptTime + msPerToken*mgclock.Millis(x.size.output),
		Due:      x.firstTryAt + x.call.Route.LatencyGoal() - promptTime,
		Arrived:  x.firstTryAt,
		GiveUpAt: end,
	}
}
