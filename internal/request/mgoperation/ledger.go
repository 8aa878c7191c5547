package mgoperation

import (
	"container/heap"
	"math"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// State is the state of an entry.
type State uint8

// The states. Absent is the state of an entry that isn't in the ledger.
const (
	Absent    State = iota
	Held            // accepted and queued, and nothing has reached the upstream
	Sent            // it may have reached the upstream
	Finished        // the upstream answered, or the agent gave up on it
	Tombstone       // it never reached the upstream and never will
)

// Action is how the agent handles a start.
type Action uint8

// The actions.
const (
	Refuse Action = iota // reply with the verdict's problem
	Run                  // queue it, and call MarkSent just before it is sent
	Join                 // wait for the entry that an earlier start began
)

// A Verdict is the ledger's answer to a start.
type Verdict struct {
	action     Action
	generation string
	done       <-chan struct{}
	problem    *mgproblem.Problem
}

// Action returns how to handle the start.
func (v Verdict) Action() Action { return v.action }

// Generation returns the name that the entry's first start gave the generation.
func (v Verdict) Generation() string { return v.generation }

// Done returns a channel that is closed once the entry has ended.
func (v Verdict) Done() <-chan struct{} { return v.done }

// Problem returns the reason for a refusal, or nil.
func (v Verdict) Problem() *mgproblem.Problem { return v.problem }

// A Ledger holds the entries of one incarnation of an agent. The zero Ledger
// has the defaults of a Spec for attempts and is ready for use by several
// goroutines.
type Ledger struct {
	spec Spec

	mu        sync.Mutex
	lastTime  mgclock.Millis // the latest time seen
	minStamp  mgclock.Millis // absent entries are refused unless their stamp is later
	records   map[string]*record
	expiry    expiryHeap
	bodies    []*record // finished records that may still hold a body, oldest first
	bodyBytes int       // total size of the retained bodies
}

type record struct {
	id         string
	stamp      mgclock.Millis
	deadline   mgclock.Millis
	expires    mgclock.Millis // once ended, the record is forgotten after this time
	digest     uint64         // of the request; the same in each repetition
	generation string
	state      State
	result     Result
	done       chan struct{}
}

// New returns a Ledger with the bounds of spec.
func New(spec Spec) *Ledger {
	return &Ledger{
		spec: spec,
	}
}

// Begin handles a start. Only the first start of an entry gets Run.
func (l *Ledger) Begin(start StartSpec, now mgclock.Millis) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.advance(now)
	if r := l.records[start.ID]; r != nil {
		return r.verdictForRepeat(start)
	}
	if problem := l.admitNew(start, now); problem != nil {
		return Verdict{
			problem: problem,
		}
	}
	r := l.add(start, Held)
	return Verdict{
		action:     Run,
		generation: r.generation,
		done:       r.done,
	}
}

// verdictForRepeat returns the verdict on a start for an entry that is in the
// ledger.
func (r *record) verdictForRepeat(start StartSpec) Verdict {
	v := Verdict{
		action:     Join,
		generation: r.generation,
		done:       r.done,
	}
	switch {
	case r.state == Tombstone:
		v.action = Refuse
		v.problem = problemTombstone()
	case r.digest != start.Digest:
		v.action = Refuse
		v.problem = problemOtherBody()
	}
	return v
}

// admitNew returns the reason why an entry that isn't in the ledger may not
// begin, or nil.
func (l *Ledger) admitNew(start StartSpec, now mgclock.Millis) *mgproblem.Problem {
	switch {
	case start.Stamp > now:
		return problemForeign()
	case l.expired(start.Stamp, now):
		// This message may have been delayed beyond the window, and an earlier copy
		// of it may have run and been forgotten. If this one ran, the entry would run
		// twice.
		return problemExpired()
	case start.Stamp <= l.minStamp:
		return problemFull()
	case now >= start.Deadline:
		l.addTombstone(start.ID, start.Stamp)
		return problemDeadline()
	case len(l.records) >= l.spec.MaxRecords:
		l.addTombstone(start.ID, start.Stamp)
		return problemFull()
	default:
		return nil
	}
}

// MarkSent is the last step before an entry reaches the upstream: the agent
// sends only if the returned problem is nil. An entry that was cancelled or
// passed its deadline while it was queued, or while the process was paused, is
// refused.
func (l *Ledger) MarkSent(id string, now mgclock.Millis) *mgproblem.Problem {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.advance(now)
	r := l.records[id]
	switch {
	case r == nil:
		return problemExpired()
	case r.state == Tombstone:
		return problemTombstone()
	case r.state != Held:
		return problemAlreadySent()
	case now >= r.deadline:
		l.end(r, Tombstone, now)
		return problemDeadline()
	}
	r.state = Sent
	return nil
}

// Finish records the upstream's result for an entry that was sent.
func (l *Ledger) Finish(id string, result Result, now mgclock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.advance(now)
	r := l.records[id]
	if r == nil || r.state != Sent {
		return
	}
	if result.Outcome == mgproblem.NotRun {
		l.end(r, Tombstone, now)
		return
	}
	r.result = result
	l.end(r, Finished, now)
	l.retainBody(r)
}

// Cancel ends an entry and returns its outcome. An entry not yet in the ledger
// becomes a tombstone, so that a start that arrives after its cancel can't run
// once "not run" was attested. After MarkSent and until Finish the outcome is
// Unknown: the caller of Cancel still has to stop it at the upstream.
func (l *Ledger) Cancel(id string, stamp, now mgclock.Millis) mgproblem.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.advance(now)
	r := l.records[id]
	if r == nil {
		return l.cancelAbsent(id, stamp, now)
	}
	switch r.state {
	case Held:
		l.end(r, Tombstone, now)
		return mgproblem.NotRun
	case Tombstone:
		return mgproblem.NotRun
	case Finished:
		return r.result.Outcome
	default:
		return mgproblem.Unknown
	}
}

func (l *Ledger) cancelAbsent(id string, stamp, now mgclock.Millis) mgproblem.Outcome {
	if stamp > now || l.expired(stamp, now) {
		return mgproblem.Unknown
	}
	l.addTombstone(id, stamp)
	return mgproblem.NotRun
}

// Lookup returns an entry's state and, once it has finished, its result.
func (l *Ledger) Lookup(id string) (State, Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	if r == nil {
		return Absent, Result{}
	}
	return r.state, r.result
}

// Len returns the number of entries in the ledger.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// advance moves the ledger's time to now, forgets expired entries and returns
// the ledger's time.
//
// A goroutine that read the clock and was then paused passes an old time.
// Measured by that old time, an entry that another goroutine has since
// forgotten may seem within its window, and would run again. So the ledger's
// time never goes back.
func (l *Ledger) advance(now mgclock.Millis) mgclock.Millis {
	if l.records == nil {
		l.records = make(map[string]*record)
		l.spec = l.spec.withDefaults()
		l.minStamp = math.MinInt64
		l.lastTime = now
	}
	l.lastTime = max(l.lastTime, now)
	for len(l.expiry) > 0 && l.expiry[0].expires < l.lastTime {
		l.forget(heap.Pop(&l.expiry).(*record))
	}
	return l.lastTime
}

// expired reports whether an entry with this stamp may have been forgotten.
func (l *Ledger) expired(stamp, now mgclock.Millis) bool {
	return now > stamp+l.spec.Window
}

func (l *Ledger) add(start StartSpec, state State) *record {
	r := &record{
		id:         start.ID,
		stamp:      start.Stamp,
		deadline:   start.Deadline,
		digest:     start.Digest,
		generation: start.Generation,
		state:      state,
		done:       make(chan struct{}),
	}
	l.records[r.id] = r
	return r
}

// addTombstone ensures that an absent entry never runs. A full ledger has no
// capacity for a tombstone; it raises minStamp instead, which refuses every
// absent entry whose stamp is not later.
func (l *Ledger) addTombstone(id string, stamp mgclock.Millis) {
	if len(l.records) >= l.spec.MaxRecords {
		l.minStamp = max(l.minStamp, stamp)
		return
	}
	r := l.add(StartSpec{
		ID:    id,
		Stamp: stamp,
	}, Tombstone)
	l.end(r, Tombstone, l.lastTime)
}

// end moves r to a final state and schedules when it is forgotten.
func (l *Ledger) end(r *record, state State, now mgclock.Millis) {
	r.state = state
	r.expires = r.stamp + l.spec.Window
	if state == Finished {
		r.expires = max(r.expires, now+l.spec.Linger)
	}
	heap.Push(&l.expiry, r)
	close(r.done)
}

// retainBody retains r's body and drops the oldest bodies beyond the limit.
func (l *Ledger) retainBody(r *record) {
	l.bodyBytes += len(r.result.Body)
	l.bodies = append(l.bodies, r)
	for l.bodyBytes > l.spec.MaxBodyBytes {
		l.trimBody(l.bodies[0])
		l.bodies = l.bodies[1:]
	}
}

func (l *Ledger) trimBody(r *record) {
	if r.result.Trimmed {
		return
	}
	l.bodyBytes -= len(r.result.Body)
	r.result.Body = nil
	r.result.Trimmed = true
}

func (l *Ledger) forget(r *record) {
	delete(l.records, r.id)
	if r.state == Finished {
		l.trimBody(r)
	}
	for len(l.bodies) > 0 && l.bodies[0].result.Trimmed {
		l.bodies = l.bodies[1:]
	}
}

// expiryHeap orders ended entries by when they are forgotten.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(*record)) }
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
