package mgpace

import (
	"math/rand/v2"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// The rates of Loads, in loads a minute. The first rate is what 900 engines
// that start together may ask of a store that serves some thousand a minute.
// The rate rises by rateStep each minute, for all processes alike: a step for
// each success would raise the fast ones faster, and the share of a slow one
// would shrink for good. In the play of TestWeightStore, 60 processes and a
// store that serves 2 a second, steps of 0.25, 0.5, 1 and 2 use 82, 87, 90 and
// 93 % of the store and have 7, 12, 17 and 22 % of all tries refused: a quarter
// is enough, and the store is spared. The least rate still finds out within ten minutes
// that the store is well again.
const (
	firstRate = 1.0
	rateStep  = 0.25
	leastRate = 0.1
	mostRate  = 30.0
)

// Loads paces the loads of one process from the weight store. The zero Loads
// is ready for use and may load at once.
type Loads struct {
	rate  float64        // loads a minute, 0 for firstRate
	next  mgclock.Millis // when the next load may begin
	began mgclock.Millis // when the last one did
}

// Rate returns the present rate in loads a minute.
func (l *Loads) Rate() float64 {
	if l.rate > 0 {
		return l.rate
	}
	return firstRate
}

// Next returns when the next load may begin.
func (l *Loads) Next() mgclock.Millis { return l.next }

// Stagger puts off the first load of a process by its place among those that
// start together, so that the store meets them one after the other.
func (l *Loads) Stagger(now mgclock.Millis, rank int, apart mgclock.Millis) {
	l.next = max(l.next, now+mgclock.Millis(rank)*apart)
}

// Begin reports whether a load may begin now, and takes the turn.
func (l *Loads) Begin(now mgclock.Millis, r *rand.Rand) bool {
	if now < l.next {
		return false
	}
	l.began = now
	l.next = now + l.gap(r)
	return true
}

// Served tells that the store served a load.
func (l *Loads) Served() {
	minutes := float64(l.next-l.began) / float64(mgclock.Minute)
	l.rate = min(l.Rate()+rateStep*minutes, mostRate)
}

// Refused tells that the store refused a load, to be asked again after retry at
// the earliest.
func (l *Loads) Refused(now, retry mgclock.Millis, r *rand.Rand) {
	l.rate = max(l.Rate()/2, leastRate)
	l.next = now + retry + l.gap(r)
}

// gap returns the span between two loads, half to one and a half of what the
// rate says: processes that were refused together would ask together for ever,
// and the same ones would be refused each time.
func (l *Loads) gap(r *rand.Rand) mgclock.Millis {
	span := float64(mgclock.Minute) / l.Rate()
	return mgclock.Millis(span * (0.5 + r.Float64()))
}
