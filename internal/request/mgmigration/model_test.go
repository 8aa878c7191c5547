package mgmigration

import (
	"errors"
	"fmt"
	"testing"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgexplore"
)

// fault is a broken variant of the code that carries out a move, or noFault. The
// model must catch each broken one.
type fault string

const (
	noFault         fault = "sound"
	resumesEarly    fault = "resumes elsewhere before the stream has ended"
	reusesCopy      fault = "uses a copy a second time"
	resumesAfterEnd fault = "resumes after the run has ended by itself"
	ignoresSource   fault = "doesn't resume at a source that stopped"
	stopsBeforeCopy fault = "stops the run before anything was copied"
	trustsSilence   fault = "takes a stop without a reply for one that wasn't carried out"
)

var (
	errTwice    = errors.New("one generation runs twice")
	errReused   = errors.New("a copy is used twice")
	errAfterEnd = errors.New("a run resumes after its end was delivered")
	errLost     = errors.New("the generation is lost although its stopped source is alive")
	errPause    = errors.New("the run is stopped for the whole of its copy")
	errComplete = errors.New("the stream of a stopped run counts as complete")
	errBroken   = errors.New("the stream of a run that has ended by itself counts as stopped, though no order to stop it was lost")
)

// state is the state of the run at its source.
type state int

const (
	queued state = iota
	running
	finished
	stopped
	dead // the source crashed or was reclaimed
)

// world models a source, a destination and the holder of the stream.
type world struct {
	variant           fault
	choose            func(n int) int
	move              Move
	source            state
	destinationGone   bool            // the destination can't be reached
	destinationCopies map[string]bool // unused copies at the destination, by handle
	sourceCopies      map[string]bool // unused copies at the source, by handle
	handles           int
	lost              bool // an order to stop the run had no reply
	resumed           int
	resumedAt         Place
}

// maxSteps bounds the length of a schedule.
const maxSteps = 8

func model(variant fault) func(*mgexplore.Chooser) error {
	return func(c *mgexplore.Chooser) error {
		w := &world{
			variant:           variant,
			choose:            c.Choose,
			destinationCopies: map[string]bool{},
			sourceCopies:      map[string]bool{},
		}
		for step := range maxSteps {
			if c.Seen(step, w.state) {
				return nil
			}
			w.injectEvent()
			if err := w.call(); err != nil {
				return err
			}
			w.injectEvent()
			if w.move.Step() == Done || w.source > running {
				break
			}
		}
		return w.resumeIfCut()
	}
}

func (w *world) state() string {
	return fmt.Sprint(w.move, w.source, w.destinationGone, w.destinationCopies, w.sourceCopies, w.resumed, w.lost)
}

// injectEvent may change the world independently of the move: the run begins or
// ends by itself, the source dies, or the destination's reachability changes.
func (w *world) injectEvent() {
	switch w.choose(4) {
	case 1:
		if w.source < finished {
			w.source++
		}
	case 2:
		w.source = dead
	case 3:
		w.destinationGone = !w.destinationGone // the next destination tried may be another engine, gone or alive
	}
}

// call executes the move's next step.
func (w *world) call() error {
	switch step := w.move.Step(); {
	case step == Wait:
		w.move.EndWait()
	case step == Stop, w.variant == stopsBeforeCopy:
		if step == Copy && w.source == running {
			return errPause
		}
		w.move.HandleReply(w.stop())
	case step == Copy:
		w.move.HandleReply(w.copy())
	}
	if w.variant == resumesEarly && len(w.move.Places()) > 0 && w.source == running {
		return w.resume(w.move.Places()[0])
	}
	return nil
}

func (w *world) copy() Reply {
	switch {
	case w.source == dead:
		return failedReply(Lost)
	case w.source != running:
		return failedReply(Absent)
	case w.destinationGone:
		return failedReply(NoCapacity)
	}
	if w.choose(4) == 1 {
		return failedReply(Busy)
	}
	handle := w.handle()
	w.destinationCopies[handle] = true
	if w.choose(2) == 1 {
		return failedReply(Lost)
	}
	return copiedReply(handle)
}

func (w *world) stop() Reply {
	switch {
	case w.source == dead:
		return failedReply(Lost)
	case w.source != running:
		return failedReply(Absent)
	}
	if w.choose(3) == 1 {
		w.lost = true
		return failedReply(Lost) // the call never arrived
	}
	w.source = stopped
	handle := w.handle()
	w.sourceCopies[handle] = true
	reply := copiedReply(handle)
	if w.destinationGone {
		reply.Outcome = NoCapacity
	} else {
		w.destinationCopies[handle] = true
	}
	if w.choose(2) == 1 {
		return failedReply(Lost)
	}
	return reply
}

func (w *world) handle() string {
	w.handles++
	return fmt.Sprint("h", w.handles)
}

// resumeIfCut is what the holder of the stream does: nothing while the stream
// flows or once it has ended completely, else it resumes the generation.
func (w *world) resumeIfCut() error {
	if w.source <= running {
		return nil
	}
	mayHaveStopped := w.move.MayHaveStopped()
	if w.variant == trustsSilence {
		mayHaveStopped = w.move.Stopped()
	}
	switch {
	case w.source == stopped && !mayHaveStopped:
		return errComplete
	case w.source == finished && mayHaveStopped && !w.lost:
		return errBroken
	}
	if w.source == finished && w.variant != resumesAfterEnd {
		return nil
	}
	w.injectEvent()
	places := w.move.Places()
	if w.variant == ignoresSource && len(places) > 1 {
		places = places[:1]
	}
	for _, place := range places {
		if err := w.resume(place); err != nil {
			return err
		}
		if w.resumed > 0 && w.variant != reusesCopy {
			return nil
		}
	}
	if w.resumed == 0 && w.source == stopped && w.move.Stopped() {
		return errLost
	}
	return nil
}

// resume sends the generation to a place, which refuses it if it has no copy.
func (w *world) resume(place Place) error {
	handle := w.move.Handle()
	available := w.destinationCopies
	if place == AtSource {
		available = w.sourceCopies
	}
	if place == AtDestination && w.destinationGone || place == AtSource && w.source == dead || !available[handle] {
		return nil
	}
	switch {
	case w.source == running:
		return errTwice
	case w.source == finished:
		return errAfterEnd
	case w.resumed > 0:
		return errReused
	}
	delete(available, handle)
	w.resumed++
	if w.variant == reusesCopy {
		available[handle] = true
	}
	w.resumedAt = place
	return nil
}

// Guards against a generation that runs at its destination while its source
// still runs it, or at neither, so that a caller gets two outputs interleaved
// or none. Every order of a few faults and lost replies is tried.
func TestModelRunsTwiceOrNowhere(t *testing.T) {
	const bound = 200_000
	report := mgexplore.Exhaust(bound, model(noFault))
	if report.Violation() != nil || !report.Whole() {
		t.Fatalf("sound: %v", report)
	}
	t.Log(report)
	if report.States() < 40 {
		t.Fatalf("the model reaches %d states only", report.States())
	}
	for _, variant := range []fault{resumesEarly, reusesCopy, resumesAfterEnd, ignoresSource, stopsBeforeCopy, trustsSilence} {
		if report := mgexplore.Exhaust(bound, model(variant)); report.Violation() == nil {
			t.Errorf("not caught: %s", variant)
		}
	}
}
