package mgquarantine

import (
	"math/bits"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// trialWindow is how long after a hold only one process admits the request.
	trialWindow = 5 * mgclock.Second
	// trialTimeout is how long the outcome of a trial, an attempt after the hold, is awaited by all
	// processes. The attempt may wait at its upstream before it begins.
	trialTimeout = 30 * mgclock.Second
)

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
		left = max(left, suspicion.remaining(now), suspicion.heldUntil+trialDelay(q.rankOf(d))-now, suspicion.trialUntil-now)
		trials = append(trials, d)
	}
	if len(trials) == 0 || left > 0 {
		return left, left == 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, d := range trials {
		left = max(left, q.state.Load().suspicions[d].trialUntil-now)
	}
	if left > 0 {
		return left, false
	}
	for _, d := range trials {
		q.announceTrial(now, d)
	}
	q.reevaluate(now)
	return 0, true
}

// announceTrial adds a record that a trial of a request or part has begun.
func (q *Quarantine) announceTrial(now mgclock.Millis, digest Digest) {
	trial := trialDigestOf(digest)
	q.putOwn(storedRecord{
		record: Record{
			Digest: trial.String(),
			Seen:   now,
		},
		digest:    trial,
		seenBound: now,
		learnedAt: now,
	})
}

// recordTrials enters in a state until when the outcomes of the trials are awaited that are known
// to have begun.
func (q *Quarantine) recordTrials(next *state) {
	answers := map[Digest]mgclock.Millis{} // the latest ones
	for _, s := range q.records {
		if !s.isCrash() {
			answers[s.digest] = max(answers[s.digest], s.seenBound)
		}
	}
	for digest, suspicion := range next.suspicions {
		if began, known := answers[trialDigestOf(digest)]; known && suspicion.isQuarantined {
			suspicion.trialUntil = began + trialTimeout
			next.suspicions[digest] = suspicion
		}
	}
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
