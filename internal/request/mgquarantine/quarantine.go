package mgquarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// evidenceLife is how long notes count against a request that isn't held.
	evidenceLife = 10 * mgclock.Minute
	// most is the number of notes that are kept: some hundred requests with a few
	// crashes each, 0.3 MB. Of more, those of requests that aren't held go first.
	most = 1024
	// noteLife is how long a note may be needed.
	noteLife = longestHold + 2*evidenceLife
	// trialSpan is how long after a hold one process alone lets the request through, and
	// how long that one waits for what comes of it.
	trialSpan = 5 * mgclock.Second
	// newsSpan is how long a note is told on after it was learned.
	newsSpan = 600 * mgclock.Millis(1)
	// newsGain is by how much a note's time must come down to be news again: other copies of
	// it came on slower ways.
	newsGain = 20 * mgclock.Millis(1)
)

// A Quarantine holds what this process knows of requests that crash upstreams. The zero
// Quarantine is empty and ready for use by several goroutines; New names its process.
type Quarantine struct {
	origin string
	first  func(Digest) bool // see New
	check  func()            // see Watch
	state  atomic.Pointer[state]

	mu      sync.Mutex
	number  uint64
	offsets map[string]mgclock.Millis // of this process's clock at most, by origin
	paused  mgclock.Millis            // when the process last went on after a pause, 0 for never
	notes   map[id]stored
	trials  map[Digest]mgclock.Millis // until when a request's trial here is waited for
	changed chan struct{}             // closed when there are fresh notes
}

// state is what the notes say. It never changes.
type state struct {
	verdicts map[Digest]suspicion
	expires  mgclock.Millis
}

// New returns a quarantine of a process, whose incarnation origin names. First reports
// whether this process is the one that tries a request whose hold is over, of those that
// exchange notes; nil stands for yes.
func New(origin string, first func(Digest) bool) *Quarantine {
	return &Quarantine{
		origin: origin,
		first:  first,
	}
}

// Changed returns a channel that is closed when the quarantine next learns a note. Ask
// for it before what it tells is read.
func (q *Quarantine) Changed() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.changed == nil {
		q.changed = make(chan struct{})
	}
	return q.changed
}

// A Crash is the end of an upstream while a request was about to begin there or had just
// begun.
type Crash struct {
	Digest   Digest
	Request  string // id of the attempt's request
	Upstream string
	Begun    bool           // the upstream had begun the request
	Sent     mgclock.Millis // when the attempt was sent
	Delay    mgclock.Millis // how long before it was seen the end may have come
}

// Crashed takes a crash that was seen at a time.
func (q *Quarantine) Crashed(now mgclock.Millis, c Crash) {
	if q.check != nil {
		q.check()
	}
	q.add(now, c.Digest, Note{
		Request:  c.Request,
		Upstream: c.Upstream,
		Begun:    c.Begun,
		Sent:     c.Sent,
		Delay:    c.Delay,
	})
}

// Answered takes that an upstream answered a request, which matters only where something
// is held against it.
func (q *Quarantine) Answered(now mgclock.Millis, digest Digest) {
	if current := q.state.Load(); current == nil || current.verdicts[digest].occurrences == 0 {
		return
	}
	q.add(now, digest, Note{})
}

// Watching reports whether anything is held against any request, so that a Digest is
// worth its cost.
func (q *Quarantine) Watching() bool {
	current := q.state.Load()
	return current != nil && len(current.verdicts) > 0
}

// Held returns how long a request is still held, or false.
func (q *Quarantine) Held(now mgclock.Millis, digest Digest) (mgclock.Millis, bool) {
	current := q.state.Load()
	if current == nil {
		return 0, false
	}
	left := current.verdicts[digest].left(now)
	return left, left > 0
}

// Admit reports whether a request may be sent to an upstream, and if not, how long it is
// still held. Once its hold is over one attempt at a time is let through, at one process
// for a while, and what comes of it decides: an answer ends the quarantine, a crash begins
// a longer hold.
func (q *Quarantine) Admit(now mgclock.Millis, digest Digest) (left mgclock.Millis, ok bool) {
	current := q.state.Load()
	if current == nil || !current.verdicts[digest].held {
		return 0, true
	}
	verdict := current.verdicts[digest]
	if left := verdict.left(now); left > 0 {
		return left, false
	}
	if left := verdict.until + trialSpan - now; left > 0 && q.first != nil && !q.first(digest) {
		return left, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if left := q.trials[digest] - now; left > 0 {
		return left, false
	}
	if q.trials == nil {
		q.trials = map[Digest]mgclock.Millis{}
	}
	q.trials[digest] = now + trialSpan
	return 0, true
}

// triedCrashes is the number of occurrences from which on a request is not tried on a
// further upstream after a crash, only when its caller sends it again.
const triedCrashes = 2

// Retryable reports whether a request under which an upstream has just ended may be tried
// on another one.
func (q *Quarantine) Retryable(digest Digest) bool { return q.Occurrences(digest) < triedCrashes }

// Occurrences returns how many times upstreams have ended under a request that no other
// request explains.
func (q *Quarantine) Occurrences(digest Digest) int {
	current := q.state.Load()
	if current == nil {
		return 0
	}
	return current.verdicts[digest].occurrences
}

// add makes a note of this process's own.
func (q *Quarantine) add(now mgclock.Millis, digest Digest, note Note) {
	q.mu.Lock()
	defer q.mu.Unlock()
	note.Digest = digest.String()
	note.Seen = now
	if note.Upstream != "" && q.pausedSince(note.Sent) {
		note.Delay = max(note.Delay, note.Seen-note.Sent)
	}
	own := stored{
		note:    note,
		digest:  digest,
		at:      now,
		learned: now,
	}
	own.note.After = q.earlier(own, nil)
	q.putOwn(own)
	q.settle(now)
}

// putOwn numbers and keeps a note of this process's own.
func (q *Quarantine) putOwn(s stored) {
	q.number++
	s.note.Origin = q.origin
	s.note.Number = q.number
	q.put(s)
}

func (q *Quarantine) put(s stored) {
	if q.notes == nil {
		q.notes = map[id]stored{}
	}
	q.notes[s.name()] = s
}

// settle works out what the notes say and tells those that wait for it.
func (q *Quarantine) settle(now mgclock.Millis) {
	q.weigh(now)
	if q.changed != nil {
		close(q.changed)
		q.changed = nil
	}
}

// weigh drops the notes that have run out and replaces the state.
func (q *Quarantine) weigh(now mgclock.Millis) {
	next := &state{
		verdicts: judge(q.evidence()),
		expires:  now + evidenceLife,
	}
	for name, s := range q.notes {
		retain := s.at + evidenceLife
		if s.crashed() {
			retain = max(retain, next.verdicts[s.digest].retain)
		}
		if now >= retain {
			delete(q.notes, name)
			continue
		}
		next.expires = min(next.expires, retain)
	}
	q.bound(next)
	for digest, verdict := range next.verdicts {
		if now >= verdict.retain {
			delete(next.verdicts, digest)
		}
	}
	for digest := range q.trials {
		if !next.verdicts[digest].held {
			delete(q.trials, digest)
		}
	}
	q.state.Store(next)
}

// evidence returns the notes that an answer hasn't voided, one for each attempt, sorted by
// time.
func (q *Quarantine) evidence() []stored {
	sound := map[Digest]mgclock.Millis{}
	for _, s := range q.notes {
		if !s.crashed() {
			if at, known := sound[s.digest]; !known || s.at > at {
				sound[s.digest] = s.at
			}
		}
	}
	attempts := map[id]stored{}
	for _, s := range q.notes {
		if at, answered := sound[s.digest]; !s.crashed() || answered && s.at <= at {
			continue
		}
		if merged, known := attempts[s.base()]; known {
			s.note.After = slices.Concat(merged.note.After, s.note.After)
			s.at = min(merged.at, s.at)
			s.learned = min(merged.learned, s.learned)
		}
		s.note.Number = s.base().number
		s.note.Of = 0
		attempts[s.name()] = s
	}
	notes := make([]stored, 0, len(attempts))
	for _, s := range attempts {
		notes = append(notes, s)
	}
	byTime(notes)
	return notes
}

// bound drops the oldest notes beyond the most, those of requests that aren't held first.
func (q *Quarantine) bound(next *state) {
	if len(q.notes) <= most {
		return
	}
	names := make([]id, 0, len(q.notes))
	for name := range q.notes {
		names = append(names, name)
	}
	rank := func(name id) int {
		if s := q.notes[name]; s.crashed() && next.verdicts[s.digest].held {
			return 1
		}
		return 0
	}
	slices.SortFunc(names, func(a, b id) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(q.notes[a].at, q.notes[b].at))
	})
	for _, name := range names[:len(names)-most+most/8] { // more than one, since to rank them takes a while
		delete(q.notes, name)
	}
}

// Tick lets notes run out. Call it about once a second.
func (q *Quarantine) Tick(now mgclock.Millis) {
	current := q.state.Load()
	if current == nil || now < current.expires {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.weigh(now)
}
