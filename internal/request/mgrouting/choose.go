package mgrouting

import "math/rand/v2"

// The costs by which offers are compared, in milliseconds. They are those of
// the engine model of internal/bench/mgmodel, a small dense model on one
// accelerator; only their ratios matter. An offer's wait dominates; the other
// costs decide between offers of equal wait.
const (
	// streamDelayCost is the cost, for each running stream, of the delay that 1000
	// uncached prompt tokens put on that stream. A delay of another caller's
	// stream counts a tenth of one of this request's own first token: the stream
	// loses one gap between tokens, while this request is delayed as a whole.
	streamDelayCost = 3.0
	// shortageCost is the cost of each 1000 tokens by which the request needs more
	// memory than is free: about as many tokens are preempted and computed again.
	shortageCost = 60.0
	// generationTimeCost is the cost of each millisecond between the first token
	// and the last. A slow engine may offer an early first token and then generate
	// long answers slowly; a greater cost makes sharing with heavy accounts less
	// fair.
	generationTimeCost = 0.1
	// inFlightCost is the cost of each request that this entry has sent since it
	// asked for the offer: about its prompt and its position in the queue.
	inFlightCost = 50.0
	// Costs of the distance from the entry; other regions are the last resort.
	otherZoneCost   = 1.0
	otherRegionCost = 100.0
)

// Choose returns the index of the offer with the least cost, or -1 if all are
// refused or leaving. Ties are broken at random.
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
	cost := float64(o.Wait) + generationTimeCost*float64(o.GenerationTime)
	cost += streamDelayCost * float64(o.Uncached) / 1000 * float64(o.Running)
	cost += inFlightCost * float64(max(f.InFlight(o.Upstream)-o.InFlight, 0))
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
