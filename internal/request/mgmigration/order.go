package mgmigration

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// A Run is what is known of a generation that runs at a source.
type Run struct {
	Prompt  int            // tokens
	Output  int            // expected tokens in all, 0 when nothing is known
	Made    int            // tokens so far
	Running mgclock.Millis // since its first token
	Resumes bool           // it may go on elsewhere without a copy
}

// minRemainingTime is the expected time to a run's end below which it stays where it is:
// about what its copy and those before it take, so that moving it gains nothing.
const minRemainingTime = 600 * mgclock.Millis(1)

// minRemainingRatio is the part of what a run has made that it is expected to make yet
// when it is longer than was expected. Lengths follow laws with long tails: the
// longer a run is, the more is left.
const minRemainingRatio = 0.25

// Left returns the expected tokens that are yet to come.
func (r Run) Left() int {
	return max(r.Output-r.Made, int(minRemainingRatio*float64(r.Made)))
}

// Ends returns the expected time to the run's end by its own pace, or false
// when it has none yet.
func (r Run) Ends() (mgclock.Millis, bool) {
	if r.Made == 0 || r.Running <= 0 {
		return 0, false
	}
	return mgclock.Millis(float64(r.Left()) * float64(r.Running) / float64(r.Made)), true
}

// outputWeight is how many prompt tokens a token of output counts for. Engines
// read about fourteen tokens in the time in which they make a tenth of one for
// each of ten streams.
const outputWeight = 10

// Worth returns the order in which the runs of a source are moved: the greater
// first. A run that may go on without its copy, or that ends soon by itself,
// has the least to gain. Of the others those go first that lose the most for the
// time that their copy takes.
func (r Run) Worth() float64 {
	if r.Resumes {
		return 0
	}
	worth := float64(r.Prompt+outputWeight*(r.Made+r.Left())) / float64(r.Prompt+r.Made+1)
	if ends, known := r.Ends(); known && ends < minRemainingTime {
		return worth / nearEndDivisor
	}
	return 1 + worth
}

// nearEndDivisor puts a run that ends soon behind all others that can't go on
// without their copy: the worth of a run is at most outputWorth.
const nearEndDivisor = 2 * outputWeight
