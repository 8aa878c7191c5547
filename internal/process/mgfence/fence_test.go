package mgfence

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgexplore"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// guard returns one with a lease at 0, past its wait.
func guard(started int64) *Guard {
	g := New(Spec{
		Started: epoch + started,
		Checks:  true,
	})
	g.Renew(0, 0)
	return g
}

// The agent beside an engine is replaced. Its successor's orders must outrank
// all of its own, though neither has a disk to count on.
func TestNumbersRise(t *testing.T) {
	Convey("Fencing numbers rise", t, func() {
		old := guard(1000)
		first, err := old.Plan(7, 0)
		So(err, ShouldBeNil)
		second, _ := old.Plan(7, 0)
		So(second.Number(), ShouldBeGreaterThan, first.Number())
		Convey("with the start of the process", func() {
			next, _ := guard(1002).Plan(7, 0)
			So(next.Number(), ShouldBeGreaterThan, second.Number())
		})
		Convey("with the version", func() {
			next, _ := guard(0).Plan(8, 0)
			So(next.Number(), ShouldBeGreaterThan, second.Number())
		})
		Convey("above one that the engine has seen, when the VM's clock is behind", func() {
			late := guard(1)
			late.Refused(second.Number())
			_, err := late.Plan(7, 0)
			So(err, ShouldNotBeNil)
			late.Renew(0, 1)
			next, err := late.Plan(7, 1)
			So(err, ShouldBeNil)
			So(next.Number(), ShouldBeGreaterThan, second.Number())
		})
	})
}

// An agent decides to load a model and is paused. It wakes up when its place has
// been taken, and its order would undo its successor's. Each case gives what
// happens between the decision and the sending.
func TestPastLife(t *testing.T) {
	cases := map[string]func(g *Guard) mgclock.Millis{
		"a pause longer than the lease":  func(*Guard) mgclock.Millis { return DefaultLease },
		"a pause shorter than the lease": func(*Guard) mgclock.Millis { return DefaultPause + 1 },
		"an order that waited too long":  func(*Guard) mgclock.Millis { return DefaultHold },
		"a pause that another goroutine saw": func(g *Guard) mgclock.Millis {
			g.Look(DefaultPause + 1)
			return DefaultPause + 1
		},
		"a pause, and a new lease after it": func(g *Guard) mgclock.Millis {
			g.Renew(DefaultLease, DefaultLease)
			return DefaultLease
		},
		"a successor's number at the engine": func(g *Guard) mgclock.Millis {
			g.Refused(1 << 60)
			return 1
		},
	}
	Convey("An order of a past life isn't sent after", t, func() {
		for story, event := range cases {
			Convey(story, func() {
				g := guard(1)
				order, err := g.Plan(7, 0)
				So(err, ShouldBeNil)
				So(g.Send(order, 1), ShouldBeNil)
				err = g.Send(order, event(g))
				So(mgproblem.From(err).Kind(), ShouldEqual, mgproblem.Incarnation)
			})
		}
	})
	Convey("The zero Guard gives no leave", t, func() {
		var g Guard
		_, err := g.Plan(1, 100*mgclock.Second)
		So(err, ShouldNotBeNil)
		So(g.Send(Order{}, 0), ShouldNotBeNil)
	})
}

// The spans of the model, in steps of the clock.
const (
	lease mgclock.Millis = 2
	lag   mgclock.Millis = 1
	pause mgclock.Millis = 2
	hold  mgclock.Millis = 2
	steps                = 12
)

// world is an engine that ignores numbers, an agent that was replaced at time 0,
// and its successor.
type world struct {
	now        mgclock.Millis
	old, young *Guard
	planned    []Order // by the old one
	checked    []mgclock.Millis
	taken      bool // the engine had an order of the young one
	undone     bool // and then one of the old one
}

func newWorld(wait bool) *world {
	spec := Spec{
		Lease: lease,
		Lag:   lag,
		Pause: pause,
		Hold:  hold,
	}
	w := &world{
		young: New(spec),
		old:   New(spec),
	}
	w.old.spec.Begun = -100
	w.young.spec.Checks = !wait
	return w
}

// step plays what happens next. A pause is any number of steps in which an agent
// does nothing; one between the last check and the sending is bounded.
func (w *world) step(pick int, broken string) {
	switch pick {
	case 0:
		w.now++
	case 1: // the list lags: the old one still finds itself on it
		if w.now < lag {
			w.old.Renew(w.now, w.now)
		}
	case 2:
		if order, err := w.old.Plan(1, w.now); err == nil {
			w.planned = append(w.planned, order)
		}
	case 3: // the old one checks its orders
		for _, order := range w.planned {
			if broken == "no check before sending" || w.old.Send(order, w.now) == nil {
				w.checked = append(w.checked, w.now)
			}
		}
		w.planned = nil
	case 4: // what it checked arrives
		for _, at := range w.checked {
			w.undone = w.undone || w.taken && w.now-at <= pause
		}
		w.checked = nil
	case 5:
		w.young.Renew(w.now, w.now)
		if order, err := w.young.Plan(1, w.now); err == nil && w.young.Send(order, w.now) == nil {
			w.taken = true
		}
	}
}

func model(wait bool, broken string) func(*mgexplore.Chooser) error {
	return func(c *mgexplore.Chooser) error {
		w := newWorld(wait)
		for step := range steps {
			if c.Seen(step, w.state) {
				return nil
			}
			w.step(c.Choose(6), broken)
			if w.undone {
				return fmt.Errorf("%s: an order of the past life undid one of the new", broken)
			}
		}
		return nil
	}
}

func (w *world) state() string {
	o, y := w.old, w.young
	return fmt.Sprint(w.now, w.planned, w.checked, w.taken, o.lease, o.held, o.life, o.saw, o.last, y.lease, y.held, y.life, y.saw, y.last)
}

// An engine that ignores fencing numbers loads a model and drops it again: an
// order of the agent that was replaced arrived after its successor's.
func TestEverySchedule(t *testing.T) {
	report := mgexplore.Exhaust(5_000_000, model(true, "sound"))
	t.Logf("orders, %d steps: %v", steps, report)
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
