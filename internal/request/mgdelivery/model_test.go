package mgdelivery

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgexplore"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

var extraSchedules = flag.Int("schedules", 0, "random schedules of the longer run, 0 for none")

const (
	tokens          = 3  // tokens of each generation
	exhaustiveSteps = 9  // events in an exhaustive schedule
	seededSteps     = 60 // events in a random schedule
	eventKinds      = 9
)

// fault is a broken variant of the receiver, or noFault. The model must catch
// each broken one.
type fault string

const (
	noFault            fault = "sound"
	noGenerationCheck  fault = "no generation check"
	acceptsGap         fault = "gap accepted"
	deliversTwice      fault = "duplicates delivered"
	acceptsEarlyEnd    fault = "end accepted before the last token"
	splicesGenerations fault = "another generation continues after an interruption"
	resumesFromStart   fault = "a resuming caller gets the answer from its start"
	hidesLoss          fault = "loss is not reported"
	acceptsOldAttempt  fault = "frames of older attempts accepted, generation unchecked"
)

// frame is a frame in flight, with the attempt whose stream carries it.
type frame struct {
	attempt int
	*Frame
}

// world models a caller, its receiver, the network and the engines' generations
// "A", "B" and so on, whose tokens are "A1", "A2" and so on.
type world struct {
	variant    fault
	whole      bool
	receiver   *Receiver
	attempt    int
	generation int // the generation that is running, from 0
	emitted    uint64
	inFlight   []frame
	delivered  []string
	outcome    string
}

func name(generation int) string { return string(rune('A' + generation)) }

func token(generation int, seq uint64) string { return fmt.Sprint(name(generation), seq) }

func exhaustive(variant fault, whole bool) func(*mgexplore.Chooser) error {
	return func(c *mgexplore.Chooser) error {
		w := newWorld(variant, whole)
		for step := range exhaustiveSteps {
			if c.Seen(step, w.state) {
				return nil
			}
			w.playEvent(c.Choose(eventKinds))
			if err := w.checkInvariants(); err != nil {
				return err
			}
		}
		if c.Seen(exhaustiveSteps, w.state) {
			return nil
		}
		return w.finish()
	}
}

// randomSchedule plays longer random schedules, in which most events are
// fault-free.
func randomSchedule(variant fault, whole bool) func(*mgexplore.Chooser) error {
	return func(c *mgexplore.Chooser) error {
		w := newWorld(variant, whole)
		for step := range seededSteps {
			c.Seen(step, w.state)
			pick := c.Choose(eventKinds)
			if c.Choose(4) > 0 {
				pick %= 2
			}
			w.playEvent(pick)
			if err := w.checkInvariants(); err != nil {
				return err
			}
		}
		return w.finish()
	}
}

func newWorld(variant fault, whole bool) *world {
	w := &world{
		variant: variant,
		whole:   whole,
		receiver: New(Spec{
			Whole: whole,
		}),
	}
	w.attempt = w.receiver.Begin(name(0))
	return w
}

// finish plays the rest without faults: the caller must get an end or a
// problem.
func (w *world) finish() error {
	for range 10 * tokens {
		if w.outcome != "" {
			return nil
		}
		w.emit()
		for len(w.inFlight) > 0 {
			w.deliver(0, true)
			if err := w.checkInvariants(); err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("%s: caller has %v and waits forever", w.variant, w.delivered)
}

// playEvent plays one event. The fault-free ones come first.
func (w *world) playEvent(event int) {
	switch event {
	case 0:
		w.emit()
	case 1:
		w.deliver(0, true)
	case 2: // reordered
		w.deliver(1, true)
	case 3: // duplicated
		w.deliver(0, false)
	case 4: // dropped
		if len(w.inFlight) > 0 {
			w.inFlight = w.inFlight[1:]
		}
	case 5: // misrouted: another generation's next token on this stream
		w.receive(frame{
			attempt: w.attempt,
			Frame: &Frame{
				Generation: "Z",
				Seq:        w.receiver.Last() + 1,
				Tokens:     []string{"Z"},
			},
		})
	case 6: // engine killed
		w.receive(frame{
			attempt: w.attempt,
			Frame: &Frame{
				Generation: name(w.generation),
				Fault:      "interrupted",
			},
		})
	case 7: // agent gone for good
		if w.variant != hidesLoss {
			w.apply(w.receiver.HandleLoss(w.attempt))
		} else if !w.receiver.finished {
			w.apply(w.receiver.deliver(Finish, nil))
		}
	case 8:
		w.resumeElsewhere()
	}
}

// emit sends the engine's next token, and the end with the last one.
func (w *world) emit() {
	if w.emitted == tokens {
		w.inFlight = append(w.inFlight, w.end())
		return
	}
	w.emitted++
	f := &Frame{
		Generation: name(w.generation),
		Seq:        w.emitted,
		Tokens:     []string{token(w.generation, w.emitted)},
	}
	if w.emitted == tokens {
		f.End = "stop"
		f.Total = tokens
		// The end may also arrive on its own, before the last token.
		w.inFlight = append(w.inFlight, w.end())
	}
	w.inFlight = append(w.inFlight, frame{
		attempt: w.attempt,
		Frame:   f,
	})
}

func (w *world) end() frame {
	return frame{
		attempt: w.attempt,
		Frame: &Frame{
			Generation: name(w.generation),
			End:        "stop",
			Total:      tokens,
		},
	}
}

func (w *world) deliver(i int, remove bool) {
	if i >= len(w.inFlight) {
		return
	}
	f := w.inFlight[i]
	if remove {
		w.inFlight = slices.Delete(slices.Clone(w.inFlight), i, i+1)
	}
	w.receive(f)
}

// receive passes the receiver a frame, altered by the broken variant.
func (w *world) receive(f frame) {
	r := w.receiver
	in := &Frame{
		Generation: f.Generation,
		Seq:        f.Seq,
		Tokens:     f.Tokens,
		End:        f.End,
		Fault:      f.Fault,
		Total:      f.Total,
	}
	switch w.variant {
	case noGenerationCheck:
		in.Generation = r.generation
	case acceptsOldAttempt:
		in.Generation = r.generation
		f.attempt = r.currentAttempt
	case acceptsGap:
		if in.Seq > r.last+1 {
			r.last = in.Seq - 1
		}
	case deliversTwice:
		if in.Seq > 0 && in.Seq <= r.last {
			in.Seq = r.last + 1
		}
	case acceptsEarlyEnd:
		if in.End != "" && len(in.Tokens) == 0 {
			in.Total = r.last
		}
	}
	w.apply(r.HandleFrame(f.attempt, in))
}

func (w *world) apply(d Decision) {
	w.delivered = append(w.delivered, d.Tokens()...)
	switch d.Action() {
	case Finish:
		w.outcome = "whole"
	case Reopen:
		w.emitted = w.receiver.Last()
	case StartOver:
		w.start()
	case Fail:
		if w.variant == splicesGenerations && w.generation == 0 {
			w.receiver = New(Spec{
				From: w.receiver.Last(),
			})
			w.start()
			w.emitted = w.receiver.Last()
			return
		}
		w.outcome = string(d.Problem().Kind())
	}
}

func (w *world) start() {
	w.generation++
	w.emitted = 0
	w.attempt = w.receiver.Begin(name(w.generation))
}

// resumeElsewhere plays a streaming caller that lost its entry and resumes
// through another one from the last token that it has.
func (w *world) resumeElsewhere() {
	if w.whole || len(w.delivered) == 0 || w.outcome != "" {
		return
	}
	from := uint64(len(w.delivered))
	if w.variant == resumesFromStart {
		from = 0
	}
	w.receiver = New(Spec{
		From:   from,
		Pinned: true,
	})
	w.inFlight = nil // they were sent to the other entry
	w.attempt = w.receiver.Begin(name(w.generation))
	w.emitted = from
}

// checkInvariants compares what the caller received with the guarantees.
func (w *world) checkInvariants() error {
	for i, text := range w.delivered {
		if want := token(w.generation, uint64(i+1)); text != want {
			return fmt.Errorf("%s: caller got %v: token %d is not %s", w.variant, w.delivered, i+1, want)
		}
	}
	switch {
	case w.outcome == "whole" && len(w.delivered) != tokens:
		return fmt.Errorf("%s: caller was told %v is whole", w.variant, w.delivered)
	case w.outcome != "" && w.outcome != "whole" && w.outcome != string(mgproblem.Interrupted):
		return fmt.Errorf("%s: caller got the outcome %s", w.variant, w.outcome)
	case w.outcome == "" && w.receiver.Finished():
		return fmt.Errorf("%s: caller got no outcome", w.variant)
	}
	return nil
}

// state returns a text of all that later events depend on.
func (w *world) state() string {
	var b strings.Builder
	r := w.receiver
	fmt.Fprint(&b, w.generation, w.emitted, w.attempt, w.delivered, w.outcome, r.currentAttempt, r.attemptCount, r.generationCount, r.generation, r.last, r.refusals, r.finished, r.spec)
	for _, f := range w.inFlight {
		fmt.Fprint(&b, "|", f.attempt, f.Generation, f.Seq, f.Tokens, f.End)
	}
	return b.String()
}

// Guards against a caller that gets tokens that are repeated, missing, mixed
// from two generations, or cut off without a problem. Frames are dropped,
// duplicated, reordered or misrouted, engines die, or the caller resumes
// through another entry, in any order.
func TestCallerGetsWrongTokens(t *testing.T) {
	for _, whole := range []bool{false, true} {
		report := mgexplore.Exhaust(2_000_000, exhaustive(noFault, whole))
		t.Logf("delivery, whole %t, %d steps: %v", whole, exhaustiveSteps, report)
		if report.Violation() != nil || !report.Whole() {
			t.Fail()
		}
	}
}

func TestCallerGetsWrongTokensSeeded(t *testing.T) {
	for _, whole := range []bool{false, true} {
		report := mgexplore.Seeds(5, max(1000, *extraSchedules), randomSchedule(noFault, whole))
		t.Logf("delivery, whole %t, seeded: %v", whole, report)
		if report.Violation() != nil {
			t.Fail()
		}
	}
}

// Guards against a model that misses faults. Each variant lacks one guard, and
// the model must detect that.
func TestModelMissesBrokenReceiver(t *testing.T) {
	for _, variant := range []fault{noGenerationCheck, acceptsGap, deliversTwice, acceptsEarlyEnd, splicesGenerations, resumesFromStart, hidesLoss, acceptsOldAttempt} {
		report := mgexplore.Exhaust(2_000_000, exhaustive(variant, false))
		t.Logf("%v", report)
		if report.Violation() == nil {
			t.Errorf("%s: not caught", variant)
		}
	}
}
