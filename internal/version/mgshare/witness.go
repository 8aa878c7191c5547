package mgshare

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

const (
	// wordLife is how long a witness stands by a home. It must exceed the longest
	// lease by the age at which a home renews a word, and it bounds how long the
	// accounts of a home that crashed have no new leases.
	voteTTL = 16 * mgclock.Second
	// wordSpan is the age at which a home renews a word. It leaves a second for
	// another try before long leases would have to be refused.
	voteRenewAge = 5 * mgclock.Second
	// wordRetry is the interval of tries.
	voteRetryInterval = mgclock.Second
)

// A Witness stands by homes. The zero Witness has never promised anything.
type Witness struct {
	votes        [slotCount]vote
	refusesUntil mgclock.Millis // until when it says no
}

// word is a promise to stand by one home.
type vote struct {
	home      string
	expiresAt mgclock.Millis
}

// Begin makes a witness say no for the life of a word. A process that has just
// started may have been a witness before and doesn't know what it promised; two
// homes would count it.
func (w *Witness) RefuseAtStart(now mgclock.Millis) { w.refusesUntil = now + voteTTL }

// Stand answers a home and reports whether the witness stands by it. Set is the
// hash of the slot's witnesses as the home ranks them: where the two disagree,
// one of them has an old list, and the shares of two homes might not add up.
func (w *Witness) Vote(now mgclock.Millis, ring *Ring, home string, slot int, witnessHash uint64) bool {
	if now < w.refusesUntil || slot < 0 || slot >= slotCount || ring.witnessHashes[slot] != witnessHash {
		return false
	}
	v := &w.votes[slot]
	if v.home != home && now < v.expiresAt {
		return false
	}
	v.home = home
	v.expiresAt = now + voteTTL
	return true
}
