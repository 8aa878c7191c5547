package mgshare

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

const (
	// voteTTL is how long a witness's vote for a home is valid. It must exceed the
	// longest lease by the age at which a home renews a vote, and it is the maximum
	// time for which the accounts of a crashed home get no new leases.
	voteTTL = 16 * mgclock.Second
	// voteRenewAge is the age at which a home renews a vote. It leaves a second for
	// another try before long leases would have to be refused.
	voteRenewAge = 5 * mgclock.Second
	// voteRetryInterval is the interval of requests to a witness without a fresh vote.
	voteRetryInterval = mgclock.Second
)

// A Witness votes for homes. The zero Witness has never voted.
type Witness struct {
	votes        [slotCount]vote
	refusesUntil mgclock.Millis // it refuses all votes until then
}

// vote is a vote for one home.
type vote struct {
	home      string
	expiresAt mgclock.Millis
}

// RefuseAtStart makes a witness refuse its votes for the TTL of a vote. A process that
// has just started may have been a witness before and doesn't know its earlier votes;
// two homes would count it.
func (w *Witness) RefuseAtStart(now mgclock.Millis) { w.refusesUntil = now + voteTTL }

// Vote reports whether the witness votes for a home. witnessHash is the hash of the
// slot's witnesses as the home ranks them: if the two disagree, one of them has an old
// list, and the shares of two homes might add up to more than the cap.
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
