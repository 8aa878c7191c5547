package mgquarantine

import (
	"maps"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// maxAnsweredParts is the number of parts of which the last answer is kept, some 0.3 MB.
const maxAnsweredParts = 4096

// RecordAnswer records that an upstream answered a request, or that it began to and has lived on
// for long enough. The answer voids evidence against the request and the parts of its prompt.
func (q *Quarantine) RecordAnswer(now mgclock.Millis, digest Digest, parts ...Digest) {
	q.RecordPartAnswers(now, parts...)
	current := q.state.Load()
	if current == nil {
		return
	}
	for _, d := range append([]Digest{digest}, parts...) {
		if current.suspicions[d].occurrences > 0 {
			q.addOwn(now, d, nil, Record{})
		}
	}
}

// RecordPartAnswers is RecordAnswer for a request against which there is no evidence. It is cheap.
func (q *Quarantine) RecordPartAnswers(now mgclock.Millis, parts ...Digest) {
	if len(parts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.partAnswers == nil {
		q.partAnswers = map[Digest]mgclock.Millis{}
	}
	if len(q.partAnswers) >= maxAnsweredParts {
		maps.DeleteFunc(q.partAnswers, func(_ Digest, at mgclock.Millis) bool { return at+partAnswerWindow <= now })
	}
	for _, part := range parts {
		if _, known := q.partAnswers[part]; known || len(q.partAnswers) < maxAnsweredParts {
			q.partAnswers[part] = now
		}
	}
}

// isPartAnswered reports whether this process has seen an answer to a request with a part that
// voids a crash at a time.
func (q *Quarantine) isPartAnswered(part Digest, crashAt mgclock.Millis) bool {
	at, known := q.partAnswers[part]
	return known && crashAt < at+partAnswerWindow
}

// answerSuspects adds records of the answers that this process has seen to requests with parts that
// others suspect. The process that ranks first does so at once, the others if a part is held
// nevertheless: many processes have seen answers to a popular part. It reports whether it added any.
func (q *Quarantine) answerSuspects(now mgclock.Millis) bool {
	hasNew := false
	for digest, suspicion := range q.state.Load().suspicions {
		if !suspicion.isPart || suspicion.occurrences == 0 || !q.isPartAnswered(digest, suspicion.lastCrashAt) {
			continue
		}
		if !suspicion.isQuarantined && q.rankOf(digest) > 0 {
			continue
		}
		at := q.partAnswers[digest]
		q.putOwn(storedRecord{
			record: Record{
				Digest: digest.String(),
				Seen:   at,
			},
			digest:    digest,
			seenBound: at,
			learnedAt: now,
		})
		hasNew = true
	}
	return hasNew
}
