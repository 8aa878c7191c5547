package mgquarantine

import (
	"math/bits"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// trialWindow is how long after a hold only one process admits the request, and how
// long a process waits for the outcome of its trial (an attempt after the hold).
const trialWindow = 5 * mgclock.Second

// Admit reports whether a request may be sent to an upstream, and if not, how long it is
// still held. Once its hold is over one attempt at a time is admitted, by few processes at first
// (see trialDelay). Its outcome decides: an answer ends the quarantine, a crash begins a
// longer hold. The same holds for each part of its prompt.
func (q *Quarantine) Admit(now mgclock.Millis, digest Digest, parts ...Digest) (left mgclock.Millis, ok bool) {
	current := q.state.Load()
	if current == nil {
		return 0, true
	}
	var trials []Digest
	for _, d := range append([]Digest{digest}, parts...) {
		suspicion := current.suspicions[d]
		if !suspicion.isQuarantined {
			continue
		}
		left = max(left, suspicion.remaining(now), suspicion.heldUntil+trialDelay(q.rankOf(d))-now)
		trials = append(trials, d)
	}
	if len(trials) == 0 || left > 0 {
		return left, left == 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, d := range trials {
		left = max(left, q.trialDeadlines[d]-now)
	}
	if left > 0 {
		return left, false
	}
	if q.trialDeadlines == nil {
		q.trialDeadlines = map[Digest]mgclock.Millis{}
	}
	for _, d := range trials {
		q.trialDeadlines[d] = now + trialWindow
	}
	return 0, true
}

// rankOf returns this process's rank for trials of a request or part.
func (q *Quarantine) rankOf(digest Digest) int {
	if q.trialRank == nil {
		return 0
	}
	return q.trialRank(digest)
}

// trialDelay returns how long after a hold a process with a rank may admit trials: at first one
// process does, and with each trialWindow twice as many, so that few trials run at a time and one
// takes place soon wherever requests come.
func trialDelay(rank int) mgclock.Millis { return mgclock.Millis(bits.Len(uint(rank))) * trialWindow }
