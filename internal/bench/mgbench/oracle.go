package mgbench

import (
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Costs, in ms, by which the oracle compares upstreams and predicts the end of
// a call: a token's share of a step in a usual batch, a whole step of a light
// batch, the computation of a prompt token, and a whole step of a full batch.
const (
	batchTokenCost = 0.4
	lightStepCost  = 14
	promptCost     = 0.03
	fullStepCost   = 18
)

// maxOracleScan is the maximum number of queued calls that the oracle examines
// per poll. The queue is sorted best first, so that a deeper scan makes no
// visible difference.
const maxOracleScan = 64

// oracle is a gate that knows all output lengths.
type oracle struct {
	upstream *upstream
	peers    []*oracle
	order    func(a, b *call) int
	canSteal bool
	queue    []*call
	batch    []callMemory
}

// callMemory is the future memory use of a running call: the tokens that it
// holds now and the number of steps until it ends.
type callMemory struct {
	heldTokens, remainingTokens int
}

// oraclePolicy knows all output lengths and orders calls freely. No order is
// best for every load, so job.measure runs all orders of oracleOrders and
// keeps the best run.
func oraclePolicy() policy {
	return policy{
		name:        "oracle",
		description: "lengths known, exact peak of memory, the best of several orders, work moves to idle engines",
	}
}

// oracleOrders returns the candidate orders of the oracle.
func oracleOrders() []policy {
	return []policy{
		newOraclePolicy("oracle/short", byWork, true),
		newOraclePolicy("oracle/due", byDeadline, true),
		newOraclePolicy("oracle/fifo", byArrival, true),
		withFullStepEstimate(newOraclePolicy("oracle/careful", byDeadline, true)),
	}
}

// peakPolicy knows the output lengths but keeps the queue and the routing of
// the baselines; it shows the benefit of known lengths alone.
func peakPolicy() policy {
	return newOraclePolicy("peak", byArrival, false)
}

func newOraclePolicy(name string, order func(a, b *call) int, isFree bool) policy {
	return policy{
		name:        name,
		description: "least connections, FIFO, lengths known, exact peak of memory",
		build: func(_ ScenarioSpec, us []*upstream, _ uint64) router {
			peers := make([]*oracle, len(us))
			for i, u := range us {
				if u.stepEstimate == 0 {
					u.stepEstimate = lightStepCost
				}
				peers[i] = &oracle{
					upstream: u,
					order:    order,
					canSteal: isFree,
				}
				u.gate = peers[i].gate()
			}
			for _, o := range peers {
				o.peers = peers
			}
			if isFree {
				return lowestCost(us, (*upstream).completionEstimate)
			}
			return leastConnections(us)
		},
	}
}

// withFullStepEstimate returns p with upstreams that assume the step duration
// of a full batch, so that fewer calls are started that miss their deadline.
func withFullStepEstimate(p policy) policy {
	build := p.build
	p.build = func(s ScenarioSpec, us []*upstream, seed uint64) router {
		for _, u := range us {
			u.stepEstimate = fullStepCost
		}
		return build(s, us, seed)
	}
	return p
}

func byWork(a, b *call) int {
	return a.memorySteps() - b.memorySteps()
}

func byDeadline(a, b *call) int {
	return int(a.deadline - b.deadline)
}

func byArrival(a, b *call) int {
	return a.index - b.index
}

// memorySteps returns the memory that c occupies, summed over its steps.
func (c *call) memorySteps() int {
	out := c.sequence.Output
	return (c.sequence.Prompt + out/2) * out
}

// completionEstimate returns the estimated time in ms until c would finish at
// u.
func (u *upstream) completionEstimate(c *call) float64 {
	tokens := 0
	for _, other := range u.calls {
		tokens += other.remainingTokens()
	}
	uncached := c.sequence.Prompt - u.engine.Cached(c.sequence.Prefix)
	cost := batchTokenCost*float64(tokens) + promptCost*float64(uncached)
	cost += u.stepEstimate * float64(c.remainingTokens())
	return cost / u.engine.Spec().Speed
}

// gate returns o as a gate.
func (o *oracle) gate() gate {
	return gate{
		submit:   o.submit,
		poll:     o.poll,
		withdraw: o.remove,
	}
}

func (o *oracle) submit(_ mgclock.Millis, c *call) *mgproblem.Problem {
	at, _ := slices.BinarySearchFunc(o.queue, c, o.order)
	o.queue = slices.Insert(o.queue, at, c)
	return nil
}

// remove deletes a call, which may have been passed to a peer.
func (o *oracle) remove(_ mgclock.Millis, c *call) {
	for _, p := range o.peers {
		if i := slices.Index(p.queue, c); i >= 0 {
			p.queue = slices.Delete(p.queue, i, i+1)
		}
	}
}

// poll starts the queued calls that fit, in order. If the order is free and
// the queue is empty, it then starts calls from the queues of its peers.
func (o *oracle) poll(now mgclock.Millis, dst []verdict) []verdict {
	o.batch = o.batch[:0]
	for _, c := range o.upstream.calls {
		if c.state == running {
			o.batch = append(o.batch, callMemory{
				heldTokens:      c.heldTokens(),
				remainingTokens: c.remainingTokens(),
			})
		}
	}
	dst = o.startFitting(now, o, dst)
	if !o.canSteal || len(o.queue) > 0 || o.upstream.isLeaving {
		return dst
	}
	for _, other := range o.peers {
		if other != o {
			dst = o.startFitting(now, other, dst)
		}
	}
	return dst
}

// tooLate is the oracle's refusal.
var tooLate = mgproblem.New(mgproblem.DeadlineExceeded, mgproblem.NotRun, "no time is left", "ask with a later deadline")

// startFitting starts the calls of a queue that fit. If the order is free, it
// gives up calls that can no longer meet their deadline and skips calls that
// don't fit.
func (o *oracle) startFitting(now mgclock.Millis, from *oracle, dst []verdict) []verdict {
	queue := from.queue
	from.queue = queue[:0:0]
	for i, c := range queue {
		full := len(o.batch) >= o.upstream.engine.Spec().MaxBatch
		if full || i >= maxOracleScan {
			from.queue = append(from.queue, queue[i:]...)
			return dst
		}
		switch {
		case o.canSteal && o.isTooLate(now, c):
			dst = o.passToFastest(now, c, from, dst)
		case o.reserveIfFits(c):
			dst = append(dst, verdict{
				call: c,
			})
		case o.canSteal:
			from.queue = append(from.queue, c)
		default:
			from.queue = append(from.queue, queue[i:]...)
			return dst
		}
	}
	return dst
}

// passToFastest gives c up if the fastest peer can't meet its deadline either.
// Otherwise c stays in that peer's queue or moves to it.
func (o *oracle) passToFastest(now mgclock.Millis, c *call, from *oracle, dst []verdict) []verdict {
	fastest := o.fastestPeer()
	switch {
	case fastest.isTooLate(now, c):
		return append(dst, verdict{
			call:    c,
			problem: tooLate,
		})
	case fastest == from:
		from.queue = append(from.queue, c)
	default:
		fastest.submit(now, c)
	}
	return dst
}

// fastestPeer returns the fastest peer that accepts work. Calls whose deadline
// a slow upstream can't meet go to its queue.
func (o *oracle) fastestPeer() *oracle {
	chosen := o
	for _, p := range o.peers {
		faster := p.upstream.engine.Spec().Speed > chosen.upstream.engine.Spec().Speed
		if !p.upstream.isLeaving && faster {
			chosen = p
		}
	}
	return chosen
}

// isTooLate reports whether c misses its deadline even in a light batch.
func (o *oracle) isTooLate(now mgclock.Millis, c *call) bool {
	minDuration := o.upstream.stepEstimate * float64(c.remainingTokens()) / o.upstream.engine.Spec().Speed
	return float64(now)+minDuration > c.deadline
}

// reserveIfFits reports whether the future peak of memory stays within bounds
// with c, and adds c to the batch if so. All calls grow by one token per step
// until they end, so that the peak coincides with the end of a call.
func (o *oracle) reserveIfFits(c *call) bool {
	own := callMemory{
		heldTokens:      c.heldTokens(),
		remainingTokens: c.remainingTokens(),
	}
	batch := append(o.batch, own)
	slices.SortFunc(batch, func(a, b callMemory) int { return a.remainingTokens - b.remainingTokens })
	sum, peak := 0, 0
	for i := len(batch) - 1; i >= 0; i-- {
		sum += batch[i].heldTokens
		peak = max(peak, sum+batch[i].remainingTokens*(len(batch)-i))
	}
	if peak <= o.upstream.engine.Spec().Memory {
		o.batch = batch
		return true
	}
	at := slices.Index(batch, own)
	o.batch = slices.Delete(batch, at, at+1)
	return false
}
