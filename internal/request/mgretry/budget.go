package mgretry

import "sync/atomic"

// Ratio is the fraction of a retry that each success earns. If a fraction f of
// the tries fails, f retries are wanted and Ratio·(1-f) earned per try, so the
// successes pay for Ratio·(1-f)/f of the retries: for nine tenths of them while
// one upstream in ten fails (f = 0.1), for none while all do. Retries multiply
// the load by 1 + Ratio at most.
const Ratio = 0.1

// HedgeRatio is the fraction of a hedge that each success earns: the fraction
// of lookups that are slower than the 95th percentile.
const HedgeRatio = 0.05

// DefaultLimit is the maximum of retries in a budget, which is also its initial
// value: enough for the requests that one failed engine leaves behind.
const DefaultLimit = 64

// unitsPerRetry is the resolution of a budget, which counts thousandths of a
// retry.
const unitsPerRetry = 1000

// A Budget bounds retries to a fraction of the successes. The zero Budget is
// full.
type Budget struct {
	spent atomic.Int64 // in thousandths of a retry
	limit atomic.Int64 // whole retries, 0 for DefaultLimit, earnedOnly for no share
}

// earnedOnly is the limit of a budget without a share of the service's retries.
// It holds one retry at most, which successes have earned.
const earnedOnly = -1

// SetLimit sets the maximum of retries in the budget, where several processes
// share a service's budget. At 0 the budget becomes empty and holds only what
// successes earn, one retry at most, until ExpireEarned.
func (b *Budget) SetLimit(limit int) {
	if limit > 0 {
		b.limit.Store(int64(limit))
		return
	}
	if b.limit.Swap(earnedOnly) != earnedOnly {
		b.spent.Store(unitsPerRetry)
	}
}

// ExpireEarned empties a budget without a share. What many processes have earned
// and kept could otherwise be spent at once, long after the requests for which
// the service allows it.
func (b *Budget) ExpireEarned() {
	if b.limit.Load() == earnedOnly {
		b.spent.Store(unitsPerRetry)
	}
}

// maxRetries returns the maximum of retries in the budget.
func (b *Budget) maxRetries() int64 {
	switch limit := b.limit.Load(); limit {
	case 0:
		return DefaultLimit
	case earnedOnly:
		return 1
	default:
		return limit
	}
}

// Earn adds the fraction of a retry that a success earns.
func (b *Budget) Earn(ratio float64) {
	earned := int64(ratio * unitsPerRetry)
	for {
		spent := b.spent.Load()
		if spent <= 0 || b.spent.CompareAndSwap(spent, max(spent-earned, 0)) {
			return
		}
	}
}

// Spend takes one retry. It reports false, and takes none, if less than one is
// left.
func (b *Budget) Spend() bool {
	for {
		spent := b.spent.Load()
		if spent+unitsPerRetry > b.maxRetries()*unitsPerRetry {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+unitsPerRetry) {
			return true
		}
	}
}

// Left returns the number of whole retries left.
func (b *Budget) Left() int {
	return int(b.maxRetries() - (b.spent.Load()+unitsPerRetry-1)/unitsPerRetry)
}
