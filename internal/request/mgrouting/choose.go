package mgrouting

import "math/rand/v2"

// The costs by which offers are compared, in milliseconds. They are those of
// the engine model of internal/bench/mgmodel, which follows a small dense
// model on one accelerator, and only their ratios matter. An offer's wait says
// nearly all; the others decide where waits are equal.
const (
	// streamDelayCost is the delay that 1000 uncached prompt tokens put on one
	// running stream, weighted against this request's own first token. A
	// stream of another caller counts a tenth: it loses one gap between
	// tokens, this request its whole beginning.
	streamDelayCost = 3.0
	// shortageCost is the cost of each 1000 tokens of memory that the expected
	// answer lacks: about as much is preempted and computed again.
	shortageCost = 60.0
	// paceCost is the cost of each millisecond between the first token and the
	// last. A slow engine has a first token soon enough, and then long answers
	// crawl there; a greater cost takes from the fairness under heavy accounts.
	paceCost = 0.1
	// inFlightCost is the cost of each request that this entry has sent since the
	// offer was asked for: about its prompt and a place in the queue.
	inFlightCost = 50.0
	// Distance from the entry; what is beyond the region is the last resort.
	otherZoneCost   = 1.0
	otherRegionCost = 100.0
)

// Choose returns the place in offers of the one to take, or -1 when all are
// refused. Among equal ones it draws.
func (f *Fleet) Choose(offers []Offer, q Query, r *rand.Rand) int {
	best, minCost, tieCount := -1, 0.0, 0
	for k := range offers {
		o := &offers[k]
		if o.Refused || f.upstreams[o.Upstream].state.leaving.Load() {
			continue
		}
		cost := f.cost(o, &q)
		switch {
		case best < 0 || cost < minCost:
			best, minCost, tieCount = k, cost, 1
		case cost == minCost:
			tieCount++
			if r.IntN(tieCount) == 0 {
				best = k
			}
		}
	}
	return best
}

// cost returns the cost of taking an offer in milliseconds.
func (f *Fleet) cost(o *Offer, q *Query) float64 {
	cost := float64(o.Wait) + paceCost*float64(o.Rest)
	cost += streamDelayCost * float64(o.Uncached) / 1000 * float64(o.Running)
	cost += inFlightCost * float64(max(f.Flights(o.Upstream)-o.Flights, 0))
	need := int64(q.Prompt + q.Output)
	if o.Headroom >= 0 && o.Headroom < need {
		cost += shortageCost * float64(need-o.Headroom) / 1000
	}
	u := f.Upstream(o.Upstream)
	switch {
	case u.Region != q.Region:
		cost += otherRegionCost
	case u.Zone != q.Zone:
		cost += otherZoneCost
	}
	return cost
}
