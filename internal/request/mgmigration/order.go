package mgmigration

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// A Run describes a generation that runs at a source.
type Run struct {
	Prompt         int            // tokens
	ExpectedOutput int            // expected total of output tokens, 0 if unknown
	Generated      int            // output tokens so far
	Elapsed        mgclock.Millis // since its first token
	CanResume      bool           // it can resume elsewhere without a copy
	HasBackup      bool           // it can resume elsewhere from a copy that exists already
}

// minRemainingTime is the expected remaining time below which a run is moved
// after the others: about the time of its copy and of those before it, so that
// moving it gains nothing.
const minRemainingTime = 600 * mgclock.Millis(1)

// minRemainingRatio is the minimum ratio of expected remaining tokens to tokens
// generated so far. It applies to a run that exceeds its expected length.
// Output lengths have long-tailed distributions: the longer a run is, the more
// is left.
const minRemainingRatio = 0.25

// RemainingTokens returns the expected number of remaining output tokens.
func (r Run) RemainingTokens() int {
	return max(r.ExpectedOutput-r.Generated, int(minRemainingRatio*float64(r.Generated)))
}

// RemainingTime returns the expected remaining time at the run's own rate of
// tokens, or false while it has generated none.
func (r Run) RemainingTime() (mgclock.Millis, bool) {
	if r.Generated == 0 || r.Elapsed <= 0 {
		return 0, false
	}
	return mgclock.Millis(float64(r.RemainingTokens()) * float64(r.Elapsed) / float64(r.Generated)), true
}

// outputWeight is how many prompt tokens one output token counts for. An engine
// that runs ten streams generates one output token in all in a tenth of a
// decoding step, a tenth of a token for each stream. In that time it can
// prefill about fourteen tokens.
const outputWeight = 10

// Benefit returns the priority with which a source's runs are moved, the greatest
// first. A run that can resume without its copy, or that ends soon by itself,
// gains least from a move. Of the others, those go first that would lose the
// most work per unit of copy time. Those with a backup come just before those
// that can resume without a copy: the backup may be lost, too.
func (r Run) Benefit() float64 {
	if r.CanResume {
		return 0
	}
	if r.HasBackup {
		return minBenefit
	}
	benefit := float64(r.Prompt+outputWeight*(r.Generated+r.RemainingTokens())) / float64(r.Prompt+r.Generated+1)
	if remaining, known := r.RemainingTime(); known && remaining < minRemainingTime {
		return benefit / nearEndDivisor
	}
	return 1 + benefit
}

// minBenefit is below the benefit of any run without a backup.
const minBenefit = 1e-6

// nearEndDivisor sorts a run that ends soon behind all others that can't resume
// without their copy. Where few tokens remain, the quotient in Benefit is at
// most about outputWeight, so dividing it by nearEndDivisor gives at most about
// a half. The others have more than 1, because Benefit adds 1 for them.
const nearEndDivisor = 2 * outputWeight
