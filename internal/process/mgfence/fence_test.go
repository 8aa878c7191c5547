package mgfence

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgexplore"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// leasedGuard returns a Guard with a lease from time 0 and no startup delay.
func leasedGuard(started int64) *Guard {
	g := New(Spec{
		StartedUnix:  epoch + started,
		EngineChecks: true,
	})
	g.Renew(0, 0)
	return g
}

// The agent of an engine is replaced. All orders of its successor must have
// higher numbers than its own, although neither has a disk for a counter.
func TestSuccessorOutranked(t *testing.T) {
	Convey("Fencing numbers rise", t, func() {
		old := leasedGuard(1000)
		first, err := old.Plan(7, 0)
		So(err, ShouldBeNil)
		second, _ := old.Plan(7, 0)
		So(second.Number(), ShouldBeGreaterThan, first.Number())
		Convey("with the start of the process", func() {
			next, _ := leasedGuard(1002).Plan(7, 0)
			So(next.Number(), ShouldBeGreaterThan, second.Number())
		})
		Convey("with the version", func() {
			next, _ := leasedGuard(0).Plan(8, 0)
			So(next.Number(), ShouldBeGreaterThan, second.Number())
		})
		Convey("above one that the engine has seen, when the VM's clock is behind", func() {
			late := leasedGuard(1)
			late.ObserveRefusal(second.Number())
			_, err := late.Plan(7, 0)
			So(err, ShouldNotBeNil)
			late.Renew(0, 1)
			next, err := late.Plan(7, 1)
			So(err, ShouldBeNil)
			So(next.Number(), ShouldBeGreaterThan, second.Number())
		})
	})
}

// An agent decides to load a model and is paused. When it resumes it has been
// replaced, and its order would undo its successor's. Each case gives what
// happens between Plan and CheckSend.
func TestOutdatedOrderSent(t *testing.T) {
	cases := map[string]func(g *Guard) mgclock.Millis{
		"a pause longer than the lease":  func(*Guard) mgclock.Millis { return DefaultLeaseTTL },
		"a pause shorter than the lease": func(*Guard) mgclock.Millis { return DefaultMaxPause + 1 },
		"an order that waited too long":  func(*Guard) mgclock.Millis { return DefaultMaxHold },
		"a pause that another goroutine saw": func(g *Guard) mgclock.Millis {
			g.ObserveClock(DefaultMaxPause + 1)
			return DefaultMaxPause + 1
		},
		"a pause, and a new lease after it": func(g *Guard) mgclock.Millis {
			g.Renew(DefaultLeaseTTL, DefaultLeaseTTL)
			return DefaultLeaseTTL
		},
		"a successor's number at the engine": func(g *Guard) mgclock.Millis {
			g.ObserveRefusal(1 << 60)
			return 1
		},
	}
	Convey("An outdated order isn't sent after", t, func() {
		for story, event := range cases {
			Convey(story, func() {
				g := leasedGuard(1)
				order, err := g.Plan(7, 0)
				So(err, ShouldBeNil)
				So(g.CheckSend(order, 1), ShouldBeNil)
				err = g.CheckSend(order, event(g))
				So(mgproblem.From(err).Kind(), ShouldEqual, mgproblem.Incarnation)
			})
		}
	})
	Convey("The zero Guard permits no order", t, func() {
		var g Guard
		_, err := g.Plan(1, 100*mgclock.Second)
		So(err, ShouldNotBeNil)
		So(g.CheckSend(Order{}, 0), ShouldNotBeNil)
	})
}

// The durations of the model, in steps of its clock.
const (
	leaseTTL mgclock.Millis = 2
	listLag  mgclock.Millis = 1
	maxPause mgclock.Millis = 2
	maxHold  mgclock.Millis = 2
	maxSteps                = 12
)

// world models an engine that ignores fencing numbers, an agent that was
// replaced at time 0, and its successor.
type world struct {
	now               mgclock.Millis
	old, successor    *Guard
	planned           []Order // by the old agent
	sentAt            []mgclock.Millis
	successorExecuted bool // the engine executed an order of the successor
	successorUndone   bool // and then one of the old agent
}

func newWorld(waits bool) *world {
	spec := Spec{
		LeaseTTL: leaseTTL,
		ListLag:  listLag,
		MaxPause: maxPause,
		MaxHold:  maxHold,
	}
	w := &world{
		successor: New(spec),
		old:       New(spec),
	}
	w.old.spec.StartedAt = -100
	w.successor.spec.EngineChecks = !waits
	return w
}

// step executes one event. A pause is any number of steps in which an agent does
// nothing; one between the last check and the sending is bounded.
func (w *world) step(choice int, defect string) {
	switch choice {
	case 0:
		w.now++
	case 1: // the list lags: the old agent is still on it
		if w.now < listLag {
			w.old.Renew(w.now, w.now)
		}
	case 2:
		if order, err := w.old.Plan(1, w.now); err == nil {
			w.planned = append(w.planned, order)
		}
	case 3: // the old agent checks its orders
		for _, order := range w.planned {
			if defect == "no check before sending" || w.old.CheckSend(order, w.now) == nil {
				w.sentAt = append(w.sentAt, w.now)
			}
		}
		w.planned = nil
	case 4: // the orders that it checked arrive
		for _, at := range w.sentAt {
			w.successorUndone = w.successorUndone || w.successorExecuted && w.now-at <= maxPause
		}
		w.sentAt = nil
	case 5:
		w.successor.Renew(w.now, w.now)
		if order, err := w.successor.Plan(1, w.now); err == nil && w.successor.CheckSend(order, w.now) == nil {
			w.successorExecuted = true
		}
	}
}

func model(waits bool, defect string) func(*mgexplore.Chooser) error {
	return func(c *mgexplore.Chooser) error {
		w := newWorld(waits)
		for step := range maxSteps {
			if c.Seen(step, w.state) {
				return nil
			}
			w.step(c.Choose(6), defect)
			if w.successorUndone {
				return fmt.Errorf("%s: an order of the replaced agent undid one of its successor", defect)
			}
		}
		return nil
	}
}

func (w *world) state() string {
	o, y := w.old, w.successor
	return fmt.Sprint(w.now, w.planned, w.sentAt, w.successorExecuted, o.leaseUntil, o.hasLease, o.invalidations, o.lastObserved, o.lastNumber, y.leaseUntil, y.hasLease, y.invalidations, y.lastObserved, y.lastNumber)
}

// An engine that ignores fencing numbers loads a model and drops it again,
// because an order of the replaced agent arrived after its successor's.
func TestEverySchedule(t *testing.T) {
	report := mgexplore.Exhaust(5_000_000, model(true, "sound"))
	t.Logf("orders, %d steps: %v", maxSteps, report)
	if report.Violation() != nil || !report.Whole() {
		t.Fail()
	}
	for _, broken := range []string{"no wait of the new agent", "no check before sending"} {
		report := mgexplore.Exhaust(5_000_000, model(broken != "no wait of the new agent", broken))
		t.Logf("%v", report)
		if report.Violation() == nil {
			t.Errorf("%s: not caught", broken)
		}
	}
}
