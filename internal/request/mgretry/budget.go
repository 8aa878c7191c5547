package mgretry

import "sync/atomic"

// Ratio is the part of a retry that each success earns. When a share f of the
// tries fails, it pays for Ratio·(1-f)/f of the retries: for nine tenths of them
// while one upstream in ten fails, for none while all do. It multiplies the load
// by 1 + Ratio at most.
const Ratio = 0.1

// HedgeRatio is the part of a hedge that each success earns: the share of
// lookups that are slower than the 95th percentile.
const HedgeRatio = 0.05

// DefaultLimit is the most retries that a budget holds, and what it begins with:
// enough for the requests that one failed engine leaves behind.
const DefaultLimit = 64

// unitsPerRetry is a thousandth of a retry, the unit of a budget.
const unitsPerRetry = 1000

// A Budget bounds retries by a share of successes. The zero Budget is full.
type Budget struct {
	spent atomic.Int64 // in thousandths of a retry
	limit atomic.Int64 // whole retries, 0 for Limit
}

// Bound sets the most retries that the budget holds, where several processes
// share what one service allows.
func (b *Budget) Bound(limit int) { b.limit.Store(int64(limit)) }

// maxRetries returns the maxRetries retries that the budget holds.
func (b *Budget) maxRetries() int64 {
	if limit := b.limit.Load(); limit > 0 {
		return limit
	}
	return DefaultLimit
}

// Earn adds the share of a retry that a success brings.
func (b *Budget) Earn(ratio float64) {
	earned := int64(ratio * unitsPerRetry)
	for {
		spent := b.spent.Load()
		if spent <= 0 || b.spent.CompareAndSwap(spent, max(spent-earned, 0)) {
			return
		}
	}
}

// Spend takes one retry. It reports false, and takes none, when there is none
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
