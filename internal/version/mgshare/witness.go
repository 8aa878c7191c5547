package mgshare

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

const (
	// wordLife is how long a witness stands by a home. It must exceed the longest
	// lease by the age at which a home renews a word, and it bounds how long the
	// accounts of a home that crashed have no new leases.
	wordLife = 16 * mgclock.Second
	// wordSpan is the age at which a home renews a word. It leaves a second for
	// another try before long leases would have to be refused.
	wordSpan = 5 * mgclock.Second
	// wordRetry is the interval of tries.
	wordRetry = mgclock.Second
)

// A Witness stands by homes. The zero Witness has never promised anything.
type Witness struct {
	words [slots]word
	quiet mgclock.Millis // until when it says no
}

// word is a promise to stand by one home.
type word struct {
	home  string
	until mgclock.Millis
}

// Begin makes a witness say no for the life of a word. A process that has just
// started may have been a witness before and doesn't know what it promised; two
// homes would count it.
func (w *Witness) Begin(now mgclock.Millis) { w.quiet = now + wordLife }

// Stand answers a home and reports whether the witness stands by it. Set is the
// hash of the slot's witnesses as the home ranks them: where the two disagree,
// one of them has an old list, and the shares of two homes might not add up.
func (w *Witness) Stand(now mgclock.Millis, ring *Ring, home string, slot int, set uint64) bool {
	if now < w.quiet || slot < 0 || slot >= slots || ring.hashes[slot] != set {
		return false
	}
	p := &w.words[slot]
	if p.home != home && now < p.until {
		return false
	}
	p.home = home
	p.until = now + wordLife
	return true
}
