package mgquarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// evidenceTTL is how long records count against a request that isn't held.
	evidenceTTL = 10 * mgclock.Minute
	// maxRecords is the number of records that are kept: some hundred requests with a few
	// crashes each, 0.3 MB. Beyond it those of requests that aren't held are evicted first.
	maxRecords = 1024
	// recordTTL is how long a record may be needed.
	recordTTL = maxPartHold + 2*evidenceTTL
	// broadcastWindow is how long a record is broadcast after it was learned.
	broadcastWindow = 600 * mgclock.Millis(1)
	// bystanderBroadcastWindow is the same for the record of a generation that ran at one crash only,
	// as nearly all do. Processes that miss it compare their records soon.
	bystanderBroadcastWindow = 100 * mgclock.Millis(1)
	// StartWindow is the time after its first event in which a generation counts as just started: a
	// request that crashes an upstream as it begins may have produced some tokens by then.
	StartWindow = 300 * mgclock.Millis(1)
	// minBoundImprovement is by how much a record's time bound must fall for the record to
	// be broadcast again: the copies of it that came before were delayed longer.
	minBoundImprovement = 20 * mgclock.Millis(1)
)

// A Quarantine holds what this process knows of requests that crash upstreams. The zero
// Quarantine is empty and ready for use by several goroutines; New sets the process that it
// belongs to.
type Quarantine struct {
	origin     string
	trialRank  func(Digest) int // see New
	checkPause func()           // see SetPauseCheck
	state      atomic.Pointer[state]
	lastNumber atomic.Uint64

	mu              sync.Mutex
	caution         mgclock.Millis            // see Begin; 0 for none
	rememberedSince mgclock.Millis            // from when on this process knows of all records; see Begin
	offsets         map[string]mgclock.Millis // upper bounds of this process's clock minus the origin's clock, by origin
	lastPause       mgclock.Millis            // end of the process's last pause, 0 for none
	records         map[recordID]storedRecord
	seenAnswers     map[Digest]seenAnswer
	answersSweptAt  mgclock.Millis            // when seenAnswers was last searched for expired ones
	recentEnds      map[string]mgclock.Millis // when the last attempts at upstreams that ended broke off, by upstream
	changed         chan struct{}             // closed when there are new records
}

// state is the evaluation of all records. It is immutable.
type state struct {
	cautiousUntil mgclock.Millis // see Quarantine.cautiousUntil
	suspicions    map[Digest]suspicion
	nextExpiry    mgclock.Millis
}

// New returns the quarantine of a process with the incarnation origin. trialRank returns the rank
// of this process, of those that exchange records, among the processes that may try a request whose
// hold is over: 0 for the first. A nil function means that it always is the first.
func New(origin string, trialRank func(Digest) int) *Quarantine {
	return &Quarantine{
		origin:    origin,
		trialRank: trialRank,
	}
}

// Changed returns a channel that is closed when the quarantine next learns a record. Get
// the channel before reading the records, so that no change is missed.
func (q *Quarantine) Changed() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.changed == nil {
		q.changed = make(chan struct{})
	}
	return q.changed
}

// A Crash is the end of an upstream under a request that was about to begin there or had begun.
type Crash struct {
	Digest   Digest
	Parts    []Digest // of the request's prompt that others may share, in their order; see PartDigestOf
	Request  string   // id of the attempt's request
	Upstream string
	Begun    bool           // the upstream had begun the request
	Sent     mgclock.Millis // when the attempt was sent
	Ran      mgclock.Millis // how long it had run since its first event
	Delay    mgclock.Millis // uncertainty of the crash's time: how long before it was seen the upstream may have ended
	// NextNumber is what Quarantine.NextNumber returned when the attempt was sent, 0 if
	// unknown.
	NextNumber uint64
}

// NextNumber returns the number of this process's next record. An attempt that keeps it as
// Crash.NextNumber is ordered after the crashes recorded before it was sent, also within one
// millisecond.
func (q *Quarantine) NextNumber() uint64 { return q.lastNumber.Load() + 1 }

// RecordCrash records a crash that was seen now.
func (q *Quarantine) RecordCrash(now mgclock.Millis, c Crash) {
	if q.checkPause != nil {
		q.checkPause()
	}
	if q.isOneOfMany(now, c) {
		return
	}
	q.addOwn(now, c.Digest, c.Parts, Record{
		Request:    c.Request,
		Upstream:   c.Upstream,
		Begun:      c.Begun,
		Sent:       c.Sent,
		Ran:        c.Ran,
		Delay:      c.Delay,
		NextNumber: c.NextNumber,
	})
}

// HasSuspects reports whether there is evidence against any request, so that computing a
// Digest is worth its cost.
func (q *Quarantine) HasSuspects() bool {
	current := q.state.Load()
	return current != nil && len(current.suspicions) > 0
}

// Held returns how long a request with these parts is still held, or false.
func (q *Quarantine) Held(now mgclock.Millis, digest Digest, parts ...Digest) (mgclock.Millis, bool) {
	current := q.state.Load()
	if current == nil {
		return 0, false
	}
	left := current.suspicions[digest].remaining(now)
	for _, part := range parts {
		left = max(left, current.suspicions[part].remaining(now))
	}
	return left, left > 0
}

// EndsUpstreams reports whether the upstream of a generation that has run for a time is about to end,
// too: its request, or a part of its prompt, is held since upstreams have ended at about one place of
// its answers, which the generation has not passed, and none has ever answered it.
func (q *Quarantine) EndsUpstreams(now, ran mgclock.Millis, digest Digest, parts ...Digest) bool {
	current := q.state.Load()
	if current == nil {
		return false
	}
	return slices.ContainsFunc(append([]Digest{digest}, parts...), func(d Digest) bool {
		s := current.suspicions[d]
		return s.remaining(now) > 0 && s.isLate && !s.answered && ran < s.safeAfter
	})
}

// retryOccurrenceLimit is the number of occurrences from which a request is no longer retried
// on another upstream after a crash. It then runs again only when its caller sends it
// again.
const retryOccurrenceLimit = 2

// Retryable reports whether a request with these parts whose upstream has just crashed may be
// retried on another one.
func (q *Quarantine) Retryable(digest Digest, parts ...Digest) bool {
	current := q.state.Load()
	if current == nil {
		return true
	}
	return !slices.ContainsFunc(append([]Digest{digest}, parts...), func(d Digest) bool {
		s := current.suspicions[d]
		if s.lastCrashAt < current.cautiousUntil {
			return s.occurrences >= cautiousRetryLimit
		}
		return s.occurrences >= retryOccurrenceLimit
	})
}

// Continuable reports whether a generation with these parts that had run for a time, and whose
// upstream has just crashed, may continue from a copy at another one. One that had just begun must be
// Retryable. Of one that ran on, a cautious process knows as little after one crash as any other: some
// two dozen generations ran there, and one more crash costs no more than all that it would not continue.
func (q *Quarantine) Continuable(ran mgclock.Millis, digest Digest, parts ...Digest) bool {
	if ran < StartWindow {
		return q.Retryable(digest, parts...)
	}
	current := q.state.Load()
	return current == nil || !slices.ContainsFunc(append([]Digest{digest}, parts...), func(d Digest) bool {
		return current.suspicions[d].occurrences >= retryOccurrenceLimit
	})
}

// Occurrences returns the number of occurrences that a request, or a part of prompts, is suspected
// of, without those that something else explains.
func (q *Quarantine) Occurrences(digest Digest) int {
	current := q.state.Load()
	if current == nil {
		return 0
	}
	return current.suspicions[digest].occurrences
}

// addOwn adds a record of this process's own. It leaves out parts that were answered here of late.
func (q *Quarantine) addOwn(now mgclock.Millis, digest Digest, parts []Digest, record Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	parts = slices.DeleteFunc(slices.Clone(parts), func(part Digest) bool { return q.seenAnswers[part].clears(now, record.Ran) })
	record.Digest = digest.String()
	for _, part := range parts {
		record.Parts = append(record.Parts, part.String())
	}
	record.Seen = now
	if record.Upstream != "" && q.pausedSince(record.Sent) {
		record.Delay = max(record.Delay, record.Seen-record.Sent)
	}
	own := storedRecord{
		record:    record,
		digest:    digest,
		parts:     parts,
		seenBound: now,
		learnedAt: now,
	}
	own.record.Earlier = q.provenEarlier(own, nil)
	q.putOwn(own)
	q.reevaluate(now)
}

// putOwn numbers and stores a record of this process's own.
func (q *Quarantine) putOwn(s storedRecord) {
	s.record.Origin = q.origin
	s.record.Number = q.lastNumber.Add(1)
	q.put(s)
}

func (q *Quarantine) put(s storedRecord) {
	if q.records == nil {
		q.records = map[recordID]storedRecord{}
	}
	q.records[s.id()] = s
}

// reevaluate updates the state and notifies those that wait for a change.
func (q *Quarantine) reevaluate(now mgclock.Millis) {
	q.updateState(now)
	if q.answerSuspects(now) {
		q.updateState(now)
	}
	if q.changed != nil {
		close(q.changed)
		q.changed = nil
	}
}

// updateState evaluates the records, drops expired ones and replaces the state.
func (q *Quarantine) updateState(now mgclock.Millis) {
	next := &state{
		cautiousUntil: q.cautiousUntil(),
		suspicions:    q.evaluate(),
		nextExpiry:    now + evidenceTTL,
	}
	for id, s := range q.records {
		retainUntil := s.seenBound + evidenceTTL
		if s.isCrash() {
			retainUntil = max(retainUntil, next.suspicions[s.digest].retainUntil)
			for _, part := range s.parts {
				retainUntil = max(retainUntil, next.suspicions[part].retainUntil)
			}
		}
		if now >= retainUntil {
			delete(q.records, id)
			continue
		}
		next.nextExpiry = min(next.nextExpiry, retainUntil)
	}
	q.evictExcess(next)
	for digest, suspicion := range next.suspicions {
		if now >= suspicion.retainUntil {
			delete(next.suspicions, digest)
		}
	}
	q.recordTrials(next)
	q.state.Store(next)
}

// evaluate evaluates all records.
func (q *Quarantine) evaluate() map[Digest]suspicion {
	answers := q.answers()
	e := evaluation{
		answered:      func(d Digest) bool { return len(answers[d]) > 0 },
		cautiousUntil: q.cautiousUntil(),
	}
	return e.evaluate(q.evidence(answers))
}

// evidence returns the crash records with causes that no answer has cleared, merged to one for each
// attempt and sorted by time.
func (q *Quarantine) evidence(answers map[Digest][]storedRecord) []storedRecord {
	attempts := map[recordID]storedRecord{}
	for _, s := range q.records {
		if !s.isCrash() {
			continue
		}
		if merged, known := attempts[s.firstID()]; known {
			s.record.Earlier = slices.Concat(merged.record.Earlier, s.record.Earlier)
			s.seenBound = min(merged.seenBound, s.seenBound)
			s.learnedAt = min(merged.learnedAt, s.learnedAt)
		}
		s.record.Number = s.firstID().number
		s.record.FirstNumber = 0
		attempts[s.id()] = s
	}
	records := make([]storedRecord, 0, len(attempts))
	for _, s := range attempts {
		if s.suspects = s.unansweredCauses(answers); len(s.suspects) > 0 {
			records = append(records, s)
		}
	}
	sortByTime(records)
	return records
}

// answers returns the answer records by digest, without those of generations whose upstreams have
// crashed since: such a generation may be the cause, though it has outlived other crashes.
func (q *Quarantine) answers() map[Digest][]storedRecord {
	crashed := map[attemptID]bool{}
	for _, s := range q.records {
		if s.isCrash() {
			crashed[s.attempt()] = true
		}
	}
	answers := map[Digest][]storedRecord{}
	for _, s := range q.records {
		if !s.isCrash() && (s.record.Ran == 0 || !crashed[s.attempt()]) {
			answers[s.digest] = append(answers[s.digest], s)
		}
	}
	return answers
}

// unansweredCauses returns the request of a crash record and its parts, without those that answers
// clear.
func (s storedRecord) unansweredCauses(answers map[Digest][]storedRecord) []Digest {
	var causes []Digest
	if !slices.ContainsFunc(answers[s.digest], s.isVoidedBy) {
		causes = append(causes, s.digest)
	}
	for _, part := range s.parts {
		if !slices.ContainsFunc(answers[part], s.isPartVoidedBy) {
			causes = append(causes, part)
		}
	}
	return causes
}

// evictExcess drops the oldest records beyond maxRecords, those of requests that aren't
// held first.
func (q *Quarantine) evictExcess(next *state) {
	if len(q.records) <= maxRecords {
		return
	}
	ids := make([]recordID, 0, len(q.records))
	for id := range q.records {
		ids = append(ids, id)
	}
	rank := func(id recordID) int {
		s := q.records[id]
		isHeld := func(digest Digest) bool { return next.suspicions[digest].isQuarantined }
		if s.isCrash() && (isHeld(s.digest) || slices.ContainsFunc(s.parts, isHeld)) {
			return 1
		}
		return 0
	}
	slices.SortFunc(ids, func(a, b recordID) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(q.records[a].seenBound, q.records[b].seenBound))
	})
	for _, id := range ids[:len(ids)-maxRecords+maxRecords/8] { // an extra eighth, since ranking takes a while
		delete(q.records, id)
	}
}

// Tick drops expired records. Call it about once a second.
func (q *Quarantine) Tick(now mgclock.Millis) {
	current := q.state.Load()
	if current == nil || now < current.nextExpiry {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateState(now)
}
