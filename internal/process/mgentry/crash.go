package mgentry

import (
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// digest returns the digest that identifies the request's content.
func (j *job) digest() mgquarantine.Digest {
	return mgquarantine.DigestOf(j.account.Name(), j.service.Name(), j.model, []byte(j.prompt))
}

// maxParts bounds the blocks of a prompt that are considered as its parts, from the first one on.
const maxParts = 16

// parts returns the digests of the beginnings of the prompt that other requests may share: of its
// first blocks, each with all before it.
func (j *job) parts() []mgquarantine.Digest {
	var parts []mgquarantine.Digest
	for _, block := range j.prefixHashes[:min(len(j.prefixHashes), maxParts)] {
		parts = append(parts, mgquarantine.PartDigestOf(j.service.Name(), j.model, strconv.FormatUint(block, 16)))
	}
	return parts
}

// checkQuarantine returns the refusal of a quarantined request, or nil.
func (e *Entry) checkQuarantine(j *job) *mgproblem.Problem {
	if !e.spec.Quarantine.HasSuspects() {
		return nil
	}
	remaining, ok := e.spec.Quarantine.Admit(e.spec.Clock.Now(), j.digest(), j.parts()...)
	if ok {
		return nil
	}
	e.spec.Metrics.Counter("held").Inc(1)
	return mgquarantine.Problem(remaining, false)
}

// ran returns how long the current attempt has run since its first token.
func (r *answerReader) ran(now mgclock.Millis) mgclock.Millis {
	if r.firstTokenAt == 0 {
		return 0
	}
	return now - r.firstTokenAt
}

// recordCrash records an agent's report that its engine ended under the attempt.
func (r *answerReader) recordCrash() {
	digest := r.job.digest()
	now := r.entry.spec.Clock.Now()
	r.entry.spec.Quarantine.RecordCrash(now, mgquarantine.Crash{
		Digest:     digest,
		Parts:      r.job.parts(),
		Request:    r.attempt.id,
		Upstream:   r.attempt.agent.Upstream(),
		Begun:      true,
		Sent:       r.attempt.sentAt,
		Ran:        r.ran(now),
		NextNumber: r.attempt.nextCrashNumber,
		Delay:      now - r.attempt.sentAt, // upper bound: the report does not say when the engine ended
	})
	r.entry.spec.Metrics.Counter("crashed").Inc(1)
	r.entry.spec.Log.Info("an engine ended under a generation",
		mglog.Attempt, r.attempt.id, mglog.Upstream, r.attempt.agent.Upstream(),
		mglog.Account, r.job.account.Name(), "digest", digest.String(), "ran", int64(r.ran(now)))
}

// restartProblem returns why the request must not start at another engine, or
// nil.
func (r *answerReader) restartProblem() *mgproblem.Problem {
	if !r.entry.spec.Quarantine.HasSuspects() {
		return nil
	}
	if remaining, held := r.entry.spec.Quarantine.Held(r.entry.spec.Clock.Now(), r.job.digest(), r.job.parts()...); held {
		r.entry.spec.Metrics.Counter("held").Inc(1)
		return mgquarantine.Problem(remaining, r.mayHaveRun)
	}
	if r.engineCrashed && !r.entry.spec.Quarantine.Retryable(r.job.digest(), r.job.parts()...) {
		return interruptedProblem()
	}
	return nil
}

// recordSuccess records that an engine answered the request.
func (r *answerReader) recordSuccess() {
	if r.job == nil {
		return
	}
	r.entry.spec.Quarantine.RecordAnswer(r.entry.spec.Clock.Now(), r.job.digest(), r.job.parts()...)
}

// recordProgress reports a generation that runs to the quarantine, once each StartWindow: its engine
// has begun it and lives on.
func (r *answerReader) recordProgress() {
	now := r.entry.spec.Clock.Now()
	if r.job == nil || r.firstTokenAt == 0 || now < max(r.firstTokenAt, r.progressAt)+mgquarantine.StartWindow {
		return
	}
	r.progressAt = now
	run := mgquarantine.Run{
		Parts:   r.job.parts(),
		Request: r.attempt.id,
		Sent:    r.attempt.sentAt,
		Ran:     r.ran(now),
	}
	if r.entry.spec.Quarantine.HasSuspects() {
		run.Digest = r.job.digest()
	}
	r.entry.spec.Quarantine.RecordProgress(now, run)
}
