package mgoperation

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgexplore"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

var extraSchedules = flag.Int("schedules", 0, "random schedules of the longer run, 0 for none")

const (
	window          mgclock.Millis = 2
	linger          mgclock.Millis = 1
	exhaustiveSteps                = 7
	seededSteps                    = 80
	maxIDs                         = 3 // IDs minted in a schedule
	maxRecords                     = 2 // entries in the ledger
	eventKinds                     = 9
)

// fault is a broken variant of the ledger or its agent, or noFault. The model
// must catch each broken one.
type fault string

const (
	noFault          fault = "sound"
	noTombstone      fault = "no tombstone"
	shortTombstone   fault = "tombstone forgotten before a start can no longer come"
	earlyForget      fault = "result forgotten within the window"
	noExpiry         fault = "old starts run"
	timeGoesBack     fault = "time in the ledger goes back after a pause"
	noMinStamp       fault = "no minimum stamp when the ledger is full"
	ignoredRefusal   fault = "what was queued is sent though it was cancelled"
	answersForOld    fault = "a replaced agent answers for its predecessor"
	refusalForgotten fault = "a refused start leaves no tombstone"
)

// message is a start or cancel in flight. It stays in flight and may be
// delivered again.
type message struct {
	id          string
	incarnation int
	stamp       mgclock.Millis
	cancel      bool
}

// world models an agent, its upstream, and its callers' messages.
type world struct {
	variant     fault
	ledger      *Ledger
	now         mgclock.Millis
	pausedAt    mgclock.Millis // the time that a paused goroutine read, or -1
	incarnation int
	mintedCount int
	inFlight    []message
	queued      []string
	sent        []string
	runs        map[string]int
	notrun      map[string]bool // reported to a caller as not run
}

func newWorld(variant fault) *world {
	w := &world{
		variant:  variant,
		pausedAt: -1,
		runs:     map[string]int{},
		notrun:   map[string]bool{},
	}
	w.replaceAgent()
	return w
}

// replaceAgent replaces a dead agent. The new one starts with an empty ledger
// and a clock of its own.
func (w *world) replaceAgent() {
	w.ledger = New(Spec{
		Window:     window,
		Linger:     linger,
		MaxRecords: maxRecords,
	})
	w.incarnation++
	w.now, w.pausedAt = 0, -1
	w.queued, w.sent = nil, nil
}

func exhaustive(variant fault) func(*mgexplore.Chooser) error {
	return func(c *mgexplore.Chooser) error {
		w := newWorld(variant)
		for step := range exhaustiveSteps {
			if c.Seen(step, w.state) {
				return nil
			}
			w.playEvent(c.Choose(eventKinds), c.Choose)
			if err := w.checkInvariants(); err != nil {
				return err
			}
		}
		return nil
	}
}

func randomSchedule(variant fault) func(*mgexplore.Chooser) error {
	return func(c *mgexplore.Chooser) error {
		w := newWorld(variant)
		for step := range seededSteps {
			c.Seen(step, w.state)
			pick := c.Choose(eventKinds)
			if pick == eventKinds-1 && c.Choose(8) > 0 {
				pick = 2 // agents die less often than messages arrive
			}
			w.playEvent(pick, c.Choose)
			if err := w.checkInvariants(); err != nil {
				return err
			}
		}
		return nil
	}
}

// playEvent plays one event.
func (w *world) playEvent(event int, choose func(int) int) {
	switch event {
	case 0: // an entry process gets a stamp and sends a start
		w.mint(false)
	case 1: // an entry process sends a start and at once its cancel
		w.mint(true)
	case 2: // a message is delivered and stays in flight
		if len(w.inFlight) > 0 {
			w.deliver(w.inFlight[choose(len(w.inFlight))], w.now, choose)
		}
	case 3: // a message is handled by a goroutine that was paused
		if len(w.inFlight) > 0 && w.pausedAt >= 0 {
			w.deliver(w.inFlight[choose(len(w.inFlight))], w.pausedAt, choose)
		}
	case 4:
		w.markSent()
	case 5:
		w.finish()
	case 6:
		w.now++
	case 7: // a goroutine reads the time and is paused
		w.pausedAt = w.now
	case 8:
		w.replaceAgent()
	}
}

func (w *world) mint(cancel bool) {
	if w.mintedCount == maxIDs {
		return
	}
	w.mintedCount++
	m := message{
		id:          fmt.Sprint("op", w.mintedCount),
		incarnation: w.incarnation,
		stamp:       w.now,
	}
	w.inFlight = append(w.inFlight, m)
	if cancel {
		m.cancel = true
		w.inFlight = append(w.inFlight, m)
	}
}

func (w *world) deliver(m message, now mgclock.Millis, choose func(int) int) {
	if m.incarnation != w.incarnation && w.variant != answersForOld {
		return // answered "unknown", see Minter.Check
	}
	if w.variant == answersForOld {
		m.stamp = now
	}
	w.tamperBefore(m.id, now)
	if m.cancel {
		w.attest(m.id, w.ledger.Cancel(m.id, m.stamp, now))
	} else {
		w.begin(m, now, window*mgclock.Millis(choose(2)))
	}
	w.tamperAfter(m)
}

func (w *world) begin(m message, now, budget mgclock.Millis) {
	v := w.ledger.Begin(StartSpec{
		ID:       m.id,
		Stamp:    m.stamp,
		Deadline: now + budget,
	}, now)
	switch v.Action() {
	case Run:
		w.queued = append(w.queued, m.id)
	case Refuse:
		w.attest(m.id, v.Problem().Outcome())
		if w.variant == refusalForgotten && v.Problem().Kind() == mgproblem.DeadlineExceeded {
			delete(w.ledger.records, m.id)
		}
	}
}

// markSent marks the entry that was queued first as sent, and runs it unless
// the ledger refuses. The process may have been paused since it was queued.
func (w *world) markSent() {
	if len(w.queued) == 0 {
		return
	}
	id := w.queued[0]
	w.queued = slices.Clone(w.queued[1:])
	problem := w.ledger.MarkSent(id, w.now)
	if problem != nil && w.variant != ignoredRefusal {
		w.attest(id, problem.Outcome())
		return
	}
	w.runs[id]++
	w.sent = append(slices.Clone(w.sent), id)
}

func (w *world) finish() {
	if len(w.sent) == 0 {
		return
	}
	id := w.sent[0]
	w.sent = slices.Clone(w.sent[1:])
	w.ledger.Finish(id, Result{
		Outcome: mgproblem.Done,
	}, w.now)
	if w.variant == earlyForget {
		w.drop(id)
	}
}

func (w *world) attest(id string, outcome mgproblem.Outcome) {
	if outcome == mgproblem.NotRun {
		w.notrun[id] = true
	}
}

// tamperBefore breaks the ledger before a message is handled, as the variant
// requires.
func (w *world) tamperBefore(id string, now mgclock.Millis) {
	switch w.variant {
	case timeGoesBack:
		w.ledger.advance(w.now)
		w.ledger.lastTime = now
	case noExpiry:
		w.ledger.advance(w.now)
		w.ledger.spec.Window = window
		if w.ledger.records[id] == nil {
			w.ledger.spec.Window = 1000
		}
	case shortTombstone:
		if r := w.ledger.records[id]; r != nil && r.state == Tombstone && w.now > r.stamp {
			w.drop(id)
		}
	}
}

func (w *world) tamperAfter(m message) {
	r := w.ledger.records[m.id]
	switch {
	case w.variant == noTombstone && m.cancel && r != nil && r.state == Tombstone:
		w.drop(m.id)
	case w.variant == noMinStamp:
		w.ledger.minStamp = -1
	}
}

func (w *world) drop(id string) {
	r := w.ledger.records[id]
	if r == nil {
		return
	}
	delete(w.ledger.records, id)
	w.ledger.expiry = slices.DeleteFunc(w.ledger.expiry, func(each *record) bool { return each == r })
}

// checkInvariants compares what happened with the guarantees.
func (w *world) checkInvariants() error {
	for id, runs := range w.runs {
		if runs > 1 {
			return fmt.Errorf("%s: %s ran %d times", w.variant, id, runs)
		}
		if w.notrun[id] && runs > 0 {
			return fmt.Errorf("%s: a caller was told that %s did not run, and it ran", w.variant, id)
		}
	}
	if len(w.ledger.records) > maxRecords {
		return fmt.Errorf("%s: %d records held, at most %d allowed", w.variant, len(w.ledger.records), maxRecords)
	}
	return nil
}

// state returns a text of all that later events depend on.
func (w *world) state() string {
	var b strings.Builder
	l := w.ledger
	fmt.Fprint(&b, w.now, w.pausedAt, w.incarnation, w.mintedCount, w.inFlight, w.queued, w.sent, w.runs, w.notrun, l.lastTime, l.minStamp, l.spec.Window)
	for i := range maxIDs {
		if r := l.records[fmt.Sprint("op", i+1)]; r != nil {
			fmt.Fprint(&b, "|", r.id, r.stamp, r.expires, r.state)
		}
	}
	return b.String()
}

// Guards against a write that runs twice, or runs after its caller was told
// "not run". Its start was delivered twice, or after its cancel, or to a
// replacement agent; the ledger was full or had forgotten it; or a paused
// process used an old time.
func TestRunsTwiceOrAfterNotRun(t *testing.T) {
	report := mgexplore.Exhaust(5_000_000, exhaustive(noFault))
	t.Logf("operation, %d steps: %v", exhaustiveSteps, report)
	if report.Violation() != nil || !report.Whole() {
		t.Fail()
	}
}

func TestRunsTwiceOrAfterNotRunSeeded(t *testing.T) {
	report := mgexplore.Seeds(5, max(2000, *extraSchedules), randomSchedule(noFault))
	t.Logf("operation, seeded: %v", report)
	if report.Violation() != nil {
		t.Fail()
	}
}

// Guards against a model that misses faults. Each variant lacks one guard, and
// the model must detect that.
func TestModelMissesBrokenLedger(t *testing.T) {
	for _, variant := range []fault{noTombstone, shortTombstone, earlyForget, noExpiry, timeGoesBack, noMinStamp, ignoredRefusal, answersForOld, refusalForgotten} {
		report := mgexplore.Seeds(7, 20_000, randomSchedule(variant))
		t.Logf("%v", report)
		if report.Violation() == nil {
			t.Errorf("%s: not caught", variant)
		}
	}
}
