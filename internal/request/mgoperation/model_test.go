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

var long = flag.Int("schedules", 0, "random schedules of the longer run, 0 for none")

const (
	window      mgclock.Millis = 2
	linger      mgclock.Millis = 1
	steps                      = 7
	seededSteps                = 80
	names                      = 3 // ids
	room                       = 2 // entries in the ledger
	events                     = 9 // kinds of steps
)

// fault is one broken variant of the ledger or of its agent. The model must
// catch each.
type fault string

const (
	sound         fault = "sound"
	noTombstone   fault = "no tombstone"
	shortLife     fault = "tombstone forgotten before a start can no longer come"
	earlyForget   fault = "result forgotten within the window"
	noExpiry      fault = "old starts run"
	backwards     fault = "time in the ledger goes back after a pause"
	noFloor       fault = "no floor when the ledger is full"
	noSubmit      fault = "what was queued is sent though it was cancelled"
	replaced      fault = "a replaced agent answers for its predecessor"
	refusalForget fault = "a refused start leaves nothing"
)

// message is a start or a cancel on its way. It stays there: it may come again.
type message struct {
	id          string
	incarnation int
	stamp       mgclock.Millis
	cancel      bool
}

// world is an agent, its upstream, and the messages of its callers.
type world struct {
	broken      fault
	ledger      *Ledger
	now         mgclock.Millis
	stale       mgclock.Millis // the time a paused goroutine read, or -1
	incarnation int
	minted      int
	flight      []message
	queued      []string
	sent        []string
	runs        map[string]int
	notrun      map[string]bool // attested to a caller
}

func newWorld(broken fault) *world {
	w := &world{
		broken: broken,
		stale:  -1,
		runs:   map[string]int{},
		notrun: map[string]bool{},
	}
	w.replace()
	return w
}

// replace plays an agent that dies. Its successor starts with an empty ledger
// and a clock of its own.
func (w *world) replace() {
	w.ledger = New(Spec{
		Window:  window,
		Linger:  linger,
		Records: room,
	})
	w.incarnation++
	w.now, w.stale = 0, -1
	w.queued, w.sent = nil, nil
}

func model(broken fault) func(*mgexplore.Chooser) error {
	return func(c *mgexplore.Chooser) error {
		w := newWorld(broken)
		for step := range steps {
			if c.Seen(step, w.state) {
				return nil
			}
			w.step(c.Choose(events), c.Choose)
			if err := w.check(); err != nil {
				return err
			}
		}
		return nil
	}
}

func seeded(broken fault) func(*mgexplore.Chooser) error {
	return func(c *mgexplore.Chooser) error {
		w := newWorld(broken)
		for step := range seededSteps {
			c.Seen(step, w.state)
			pick := c.Choose(events)
			if pick == events-1 && c.Choose(8) > 0 {
				pick = 2 // agents die less often than messages come
			}
			w.step(pick, c.Choose)
			if err := w.check(); err != nil {
				return err
			}
		}
		return nil
	}
}

// step plays what happens next.
func (w *world) step(pick int, choose func(int) int) {
	switch pick {
	case 0: // an entry gets a stamp and sends a start
		w.mint(false)
	case 1: // an entry sends a start and at once its cancel
		w.mint(true)
	case 2: // a message arrives, not for the last time
		if len(w.flight) > 0 {
			w.arrive(w.flight[choose(len(w.flight))], w.now, choose)
		}
	case 3: // a message is handled by a goroutine that was paused
		if len(w.flight) > 0 && w.stale >= 0 {
			w.arrive(w.flight[choose(len(w.flight))], w.stale, choose)
		}
	case 4:
		w.submit()
	case 5:
		w.finish()
	case 6:
		w.now++
	case 7: // a goroutine reads the time and is paused
		w.stale = w.now
	case 8:
		w.replace()
	}
}

func (w *world) mint(cancel bool) {
	if w.minted == names {
		return
	}
	w.minted++
	m := message{
		id:          fmt.Sprint("op", w.minted),
		incarnation: w.incarnation,
		stamp:       w.now,
	}
	w.flight = append(w.flight, m)
	if cancel {
		m.cancel = true
		w.flight = append(w.flight, m)
	}
}

func (w *world) arrive(m message, now mgclock.Millis, choose func(int) int) {
	if m.incarnation != w.incarnation && w.broken != replaced {
		return // answered "unknown", see Minter.Check
	}
	if w.broken == replaced {
		m.stamp = now
	}
	w.tamper(m.id, now)
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
		if w.broken == refusalForget && v.Problem().Kind() == mgproblem.Late {
			delete(w.ledger.records, m.id)
		}
	}
}

// submit sends the longest queued. A pause may lie before it.
func (w *world) submit() {
	if len(w.queued) == 0 {
		return
	}
	id := w.queued[0]
	w.queued = slices.Clone(w.queued[1:])
	problem := w.ledger.Submit(id, w.now)
	if problem != nil && w.broken != noSubmit {
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
	if w.broken == earlyForget {
		w.drop(id)
	}
}

func (w *world) attest(id string, outcome mgproblem.Outcome) {
	if outcome == mgproblem.NotRun {
		w.notrun[id] = true
	}
}

// tamper breaks the ledger before a message, as the variant says.
func (w *world) tamper(id string, now mgclock.Millis) {
	switch w.broken {
	case backwards:
		w.ledger.observe(w.now)
		w.ledger.time = now
	case noExpiry:
		w.ledger.observe(w.now)
		w.ledger.spec.Window = window
		if w.ledger.records[id] == nil {
			w.ledger.spec.Window = 1000
		}
	case shortLife:
		if r := w.ledger.records[id]; r != nil && r.state == Tombstone && w.now > r.stamp {
			w.drop(id)
		}
	}
}

func (w *world) tamperAfter(m message) {
	r := w.ledger.records[m.id]
	switch {
	case w.broken == noTombstone && m.cancel && r != nil && r.state == Tombstone:
		w.drop(m.id)
	case w.broken == noFloor:
		w.ledger.floor = -1
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

// check holds what happened against the promises.
func (w *world) check() error {
	for id, runs := range w.runs {
		if runs > 1 {
			return fmt.Errorf("%s: %s ran %d times", w.broken, id, runs)
		}
		if w.notrun[id] && runs > 0 {
			return fmt.Errorf("%s: a caller was told that %s did not run, and it ran", w.broken, id)
		}
	}
	if len(w.ledger.records) > room {
		return fmt.Errorf("%s: %d records held, room for %d", w.broken, len(w.ledger.records), room)
	}
	return nil
}

// state names all that the future depends on.
func (w *world) state() string {
	var b strings.Builder
	l := w.ledger
	fmt.Fprint(&b, w.now, w.stale, w.incarnation, w.minted, w.flight, w.queued, w.sent, w.runs, w.notrun, l.time, l.floor, l.spec.Window)
	for i := range names {
		if r := l.records[fmt.Sprint("op", i+1)]; r != nil {
			fmt.Fprint(&b, "|", r.id, r.stamp, r.expires, r.state)
		}
	}
	return b.String()
}

// A transfer ticket is booked twice, or a shift lead who was told "not run"
// finds that the job ran. A start came twice, or after its cancel, or to a
// successor; the record was full or had forgotten; or a paused process went by
// an old time. In some order that nobody thought of.
func TestEverySchedule(t *testing.T) {
	report := mgexplore.Exhaust(5_000_000, model(sound))
	t.Logf("operation, %d steps: %v", steps, report)
	if report.Violation() != nil || !report.Whole() {
		t.Fail()
	}
}

func TestSeededSchedules(t *testing.T) {
	report := mgexplore.Seeds(5, max(2000, *long), seeded(sound))
	t.Logf("operation, seeded: %v", report)
	if report.Violation() != nil {
		t.Fail()
	}
}

// The model itself could be blind. Each named variant lacks one guard, and the
// model must say so.
func TestBrokenVariants(t *testing.T) {
	for _, broken := range []fault{noTombstone, shortLife, earlyForget, noExpiry, backwards, noFloor, noSubmit, replaced, refusalForget} {
		report := mgexplore.Seeds(7, 20_000, seeded(broken))
		t.Logf("%v", report)
		if report.Violation() == nil {
			t.Errorf("%s: not caught", broken)
		}
	}
}
