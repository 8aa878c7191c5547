package mgquarantine

import (
	"maps"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// maxSeenAnswers is the number of requests and parts of which the last answer is kept, some 0.4 MB.
	maxSeenAnswers = 4096
	// seenAnswerTTL is how long it is kept.
	seenAnswerTTL = mgclock.Minute
	// answerSweepInterval is the least time between two searches for expired ones. One takes some 60 µs, a
	// tenth of what a request takes.
	answerSweepInterval = mgclock.Second
)

// seenAnswer is what this process has seen last of a request, or of the requests with a part.
type seenAnswer struct {
	at         mgclock.Millis // when one was answered
	isAnswered bool
	ranAt      mgclock.Millis // when one ran that had run for the time ran
	ran        mgclock.Millis // the longest within partAnswerWindow, 0 for none
}

// clears reports whether it voids a crash at a time, under a generation that had run for a time, as
// evidence against the part.
func (a seenAnswer) clears(crashAt, ran mgclock.Millis) bool {
	return a.isAnswered && crashAt < a.at+partAnswerWindow || a.outlives(crashAt, outlivedAfter(ran))
}

// outlives reports whether a request with the part ran for longer than a time.
func (a seenAnswer) outlives(crashAt, after mgclock.Millis) bool {
	return a.ran > 0 && a.ran >= after && crashAt < a.ranAt+partAnswerWindow
}

// isExpired reports whether it is of no more use.
func (a seenAnswer) isExpired(now mgclock.Millis) bool {
	return max(a.at, a.ranAt)+seenAnswerTTL <= now
}

// A Run is a generation in progress.
type Run struct {
	Digest  Digest
	Parts   []Digest       // of the request's prompt that others may share; see PartDigestOf
	Request string         // id of the attempt's request
	Sent    mgclock.Millis // when the attempt was sent
	Ran     mgclock.Millis // since its first event
}

// RecordProgress records that a generation runs. Its upstream has survived what may have ended
// another one earlier in its answer, unless it ends under the same attempt later.
func (q *Quarantine) RecordProgress(now mgclock.Millis, run Run) {
	q.updateSeenAnswers(now, run.Parts, func(a *seenAnswer) {
		if run.Ran >= a.ran || a.ranAt+partAnswerWindow <= now {
			a.ran, a.ranAt = run.Ran, now
		}
	})
	current := q.state.Load()
	if current == nil || run.Ran == 0 {
		return
	}
	for _, d := range append([]Digest{run.Digest}, run.Parts...) {
		if suspicion := current.suspicions[d]; suspicion.occurrences > 0 && run.Ran >= suspicion.outlivedAfter {
			q.addOwn(now, d, nil, Record{
				Request: run.Request,
				Sent:    run.Sent,
				Ran:     run.Ran,
			})
		}
	}
}

// RecordAnswer records that an upstream has answered a request. The answer voids evidence against the
// request and the parts of its prompt.
func (q *Quarantine) RecordAnswer(now mgclock.Millis, digest Digest, parts ...Digest) {
	all := append([]Digest{digest}, parts...)
	q.updateSeenAnswers(now, all, func(a *seenAnswer) { a.at, a.isAnswered = now, true })
	current := q.state.Load()
	if current == nil {
		return
	}
	for _, d := range all {
		if current.suspicions[d].occurrences > 0 {
			q.addOwn(now, d, nil, Record{})
		}
	}
}

// RecordPartAnswers is RecordAnswer for the parts of a request alone.
func (q *Quarantine) RecordPartAnswers(now mgclock.Millis, parts ...Digest) {
	q.updateSeenAnswers(now, parts, func(a *seenAnswer) { a.at, a.isAnswered = now, true })
}

// updateSeenAnswers updates what is known of the requests with each part.
func (q *Quarantine) updateSeenAnswers(now mgclock.Millis, parts []Digest, update func(*seenAnswer)) {
	if len(parts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.seenAnswers == nil {
		q.seenAnswers = map[Digest]seenAnswer{}
	}
	q.dropExpiredAnswers(now)
	for _, part := range parts {
		if known, ok := q.seenAnswers[part]; ok || len(q.seenAnswers) < maxSeenAnswers {
			update(&known)
			q.seenAnswers[part] = known
		}
	}
}

// dropExpiredAnswers makes room for further answers, at most once each answerSweepInterval. It is called
// with mu held.
func (q *Quarantine) dropExpiredAnswers(now mgclock.Millis) {
	if len(q.seenAnswers) < maxSeenAnswers || now < q.answersSweptAt+answerSweepInterval {
		return
	}
	q.answersSweptAt = now
	maps.DeleteFunc(q.seenAnswers, func(_ Digest, a seenAnswer) bool { return a.isExpired(now) })
}

// answerersAtRepeat is the number of processes that report answers once a request or part is suspected
// of two occurrences.
const answerersAtRepeat = 8

// answersSuspect reports whether this process reports the answers that it has seen to a request, or to
// requests with a part, that others suspect: at first the one that ranks first, and all if it is held
// nevertheless. Many processes have seen answers to what is popular.
func (q *Quarantine) answersSuspect(digest Digest, s suspicion) bool {
	switch {
	case s.occurrences == 0:
		return false
	case s.isQuarantined:
		return true
	case s.occurrences >= minPartMoments:
		return q.rankOf(digest) < answerersAtRepeat
	default:
		return q.rankOf(digest) == 0
	}
}

// answerSuspects adds records of the answers that this process has seen to what others suspect. Those
// from before the crashes void nothing, but what was answered is the less likely cause. It reports
// whether it added any.
func (q *Quarantine) answerSuspects(now mgclock.Millis) bool {
	hasNew := false
	for digest, suspicion := range q.state.Load().suspicions {
		if !q.answersSuspect(digest, suspicion) {
			continue
		}
		seen := q.seenAnswers[digest]
		record := Record{
			Digest: digest.String(),
			Seen:   seen.at,
		}
		switch {
		case seen.isAnswered && (!suspicion.answered || suspicion.isPart && suspicion.lastCrashAt < seen.at+partAnswerWindow):
		case suspicion.isPart && seen.outlives(suspicion.lastCrashAt, suspicion.outlivedAfter):
			record.Seen, record.Ran = seen.ranAt, seen.ran
		default:
			continue
		}
		q.putOwn(storedRecord{
			record:    record,
			digest:    digest,
			seenBound: record.Seen,
			learnedAt: now,
		})
		hasNew = true
	}
	return hasNew
}
