package mgmigration

import (
	"errors"
	"fmt"
	"testing"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgexplore"
)

// fault is a broken variant of whoever carries out a move. The model must catch
// each.
type fault string

const (
	sound   fault = "sound"
	early   fault = "goes on elsewhere before the stream has ended"
	reused  fault = "uses a copy a second time"
	ended   fault = "goes on after the run has ended by itself"
	giveUp  fault = "doesn't go back to a source that stopped"
	impulse fault = "stops the run before anything was copied"
)

var (
	errTwice  = errors.New("two runs of one generation go on")
	errReused = errors.New("a copy is used twice")
	errAfter  = errors.New("a run goes on after its end was delivered")
	errLost   = errors.New("the generation is lost though a source that stopped lives")
	errPause  = errors.New("the run stands still for the whole of its copy")
)

// state is where the run is at its source.
type state int

const (
	queued state = iota
	running
	finished
	stopped
	dead // the source crashed or was reclaimed
)

// world is a source, a destination and the holder of the stream.
type world struct {
	broken  fault
	choose  func(n int) int
	move    Move
	source  state
	gone    bool            // the destination is gone
	copies  map[string]bool // at the destination, by handle: not used yet
	kept    map[string]bool // at the source
	handles int
	resumed int
	at      Place
}

// maxSteps bounds a schedule.
const maxSteps = 8

func model(broken fault) func(*mgexplore.Chooser) error {
	return func(c *mgexplore.Chooser) error {
		w := &world{
			broken: broken,
			choose: c.Choose,
			copies: map[string]bool{},
			kept:   map[string]bool{},
		}
		for step := range maxSteps {
			if c.Seen(step, w.name) {
				return nil
			}
			w.mishap()
			if err := w.call(); err != nil {
				return err
			}
			w.mishap()
			if w.move.Step() == Done || w.source > running {
				break
			}
		}
		return w.goOn()
	}
}

func (w *world) name() string {
	return fmt.Sprint(w.move, w.source, w.gone, w.copies, w.kept, w.resumed)
}

// mishap lets something happen besides the move.
func (w *world) mishap() {
	switch w.choose(4) {
	case 1:
		if w.source < finished {
			w.source++
		}
	case 2:
		w.source = dead
	case 3:
		w.gone = !w.gone // the next destination may be another one
	}
}

// call carries out the move's next step.
func (w *world) call() error {
	switch step := w.move.Step(); {
	case step == Wait:
		w.move.Waited()
	case step == Stop, w.broken == impulse:
		if step == Copy && w.source == running {
			return errPause
		}
		w.move.Take(w.stop())
	case step == Copy:
		w.move.Take(w.copy())
	}
	if w.broken == early && len(w.move.Places()) > 0 && w.source == running {
		return w.resume(w.move.Places()[0])
	}
	return nil
}

func (w *world) copy() Reply {
	switch {
	case w.source == dead:
		return without(Lost)
	case w.source != running:
		return without(Absent)
	case w.gone:
		return without(NoRoom)
	}
	if w.choose(4) == 1 {
		return without(Busy)
	}
	handle := w.handle()
	w.copies[handle] = true
	if w.choose(2) == 1 {
		return without(Lost)
	}
	return copied(handle)
}

func (w *world) stop() Reply {
	switch {
	case w.source == dead:
		return without(Lost)
	case w.source != running:
		return without(Absent)
	}
	if w.choose(3) == 1 {
		return without(Lost) // the call never arrived
	}
	w.source = stopped
	handle := w.handle()
	w.kept[handle] = true
	reply := copied(handle)
	if w.gone {
		reply.Outcome = NoRoom
	} else {
		w.copies[handle] = true
	}
	if w.choose(2) == 1 {
		return without(Lost)
	}
	return reply
}

func (w *world) handle() string {
	w.handles++
	return fmt.Sprint("h", w.handles)
}

// goOn is what the holder of the stream does: nothing while it flows or once it
// has ended as a whole.
func (w *world) goOn() error {
	if w.source <= running {
		return nil
	}
	if w.source == finished && w.broken != ended {
		return nil
	}
	w.mishap()
	places := w.move.Places()
	if w.broken == giveUp && len(places) > 1 {
		places = places[:1]
	}
	for _, place := range places {
		if err := w.resume(place); err != nil {
			return err
		}
		if w.resumed > 0 && w.broken != reused {
			return nil
		}
	}
	if w.resumed == 0 && w.source == stopped && w.move.Stopped() {
		return errLost
	}
	return nil
}

// resume sends the generation to a place, which refuses it without the copy.
func (w *world) resume(place Place) error {
	handle := w.move.Handle()
	have := w.copies
	if place == AtSource {
		have = w.kept
	}
	if place == AtDestination && w.gone || place == AtSource && w.source == dead || !have[handle] {
		return nil
	}
	switch {
	case w.source == running:
		return errTwice
	case w.source == finished:
		return errAfter
	case w.resumed > 0:
		return errReused
	}
	delete(have, handle)
	w.resumed++
	if w.broken == reused {
		have[handle] = true
	}
	w.at = place
	return nil
}

// A member gets two dossiers woven into one, or none: a generation went on at
// its destination while its source still ran, or at neither. Every order of a
// few mishaps and lost answers is tried.
func TestModel(t *testing.T) {
	const bound = 200_000
	report := mgexplore.Exhaust(bound, model(sound))
	if report.Violation() != nil || !report.Whole() {
		t.Fatalf("sound: %v", report)
	}
	t.Log(report)
	if report.States() < 40 {
		t.Fatalf("the model reaches %d states only", report.States())
	}
	for _, broken := range []fault{early, reused, ended, giveUp, impulse} {
		if report := mgexplore.Exhaust(bound, model(broken)); report.Violation() == nil {
			t.Errorf("not caught: %s", broken)
		}
	}
}
