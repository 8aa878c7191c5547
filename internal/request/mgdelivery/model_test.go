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

var long = flag.Int("schedules", 0, "random schedules of the longer run, 0 for none")

const (
	tokens      = 3  // of each generation
	steps       = 9  // of an exhaustive schedule
	seededSteps = 60 // of a random one
	events      = 9  // kinds of steps
)

// fault is one broken variant of the receiver. The model must catch each.
type fault string

const (
	sound        fault = "sound"
	anyGen       fault = "no generation check"
	gaps         fault = "gap accepted"
	repeats      fault = "duplicates delivered"
	cuts         fault = "end accepted before the last token"
	splices      fault = "another generation goes on after an interruption"
	restarts     fault = "a caller that is back gets the answer from its start"
	silent       fault = "loss is not told"
	everyAttempt fault = "frames of older attempts taken, generation unchecked"
)

// frame is one on its way, with the attempt whose stream it is on.
type frame struct {
	attempt int
	*Frame
}

// world is a caller, its receiver, the network and the engines' generations
// "A", "B" and so on, whose tokens are "A1", "A2" and so on.
type world struct {
	broken   fault
	whole    bool
	receiver *Receiver
	attempt  int
	engine   int // the generation that is running, from 0
	sent     uint64
	flight   []frame
	got      []string
	told     string
}

func name(generation int) string { return string(rune('A' + generation)) }

func token(generation int, seq uint64) string { return fmt.Sprint(name(generation), seq) }

func model(broken fault, whole bool) func(*mgexplore.Chooser) error {
	return func(c *mgexplore.Chooser) error {
		w := newWorld(broken, whole)
		for step := range steps {
			if c.Seen(step, w.state) {
				return nil
			}
			w.step(c.Choose(events))
			if err := w.check(); err != nil {
				return err
			}
		}
		if c.Seen(steps, w.state) {
			return nil
		}
		return w.settle()
	}
}

// seeded plays longer schedules, in which most steps go well.
func seeded(broken fault, whole bool) func(*mgexplore.Chooser) error {
	return func(c *mgexplore.Chooser) error {
		w := newWorld(broken, whole)
		for step := range seededSteps {
			c.Seen(step, w.state)
			pick := c.Choose(events)
			if c.Choose(4) > 0 {
				pick %= 2
			}
			w.step(pick)
			if err := w.check(); err != nil {
				return err
			}
		}
		return w.settle()
	}
}

func newWorld(broken fault, whole bool) *world {
	w := &world{
		broken: broken,
		whole:  whole,
		receiver: New(Spec{
			Whole: whole,
		}),
	}
	w.attempt = w.receiver.Begin(name(0))
	return w
}

// settle plays the rest without faults: the caller must get its last word.
func (w *world) settle() error {
	for range 10 * tokens {
		if w.told != "" {
			return nil
		}
		w.emit()
		for len(w.flight) > 0 {
			w.arrive(0, true)
			if err := w.check(); err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("%s: caller has %v and waits for ever", w.broken, w.got)
}

// step plays what happens next. The order puts what goes well first.
func (w *world) step(pick int) {
	switch pick {
	case 0:
		w.emit()
	case 1:
		w.arrive(0, true)
	case 2: // reordered
		w.arrive(1, true)
	case 3: // duplicated
		w.arrive(0, false)
	case 4: // dropped
		if len(w.flight) > 0 {
			w.flight = w.flight[1:]
		}
	case 5: // crossed: another generation's next token on this stream
		w.take(frame{
			attempt: w.attempt,
			Frame: &Frame{
				Generation: "Z",
				Seq:        w.receiver.Last() + 1,
				Text:       []string{"Z"},
			},
		})
	case 6: // engine killed
		w.take(frame{
			attempt: w.attempt,
			Frame: &Frame{
				Generation: name(w.engine),
				Fault:      "interrupted",
			},
		})
	case 7: // agent gone for good
		if w.broken != silent {
			w.act(w.receiver.Lost(w.attempt))
		} else if !w.receiver.over {
			w.act(w.receiver.deliver(Finish, nil))
		}
	case 8:
		w.comeBack()
	}
}

// emit puts the engine's next token on its way, the end with the last.
func (w *world) emit() {
	if w.sent == tokens {
		w.flight = append(w.flight, w.end())
		return
	}
	w.sent++
	f := &Frame{
		Generation: name(w.engine),
		Seq:        w.sent,
		Text:       []string{token(w.engine, w.sent)},
	}
	if w.sent == tokens {
		f.End = "stop"
		f.Total = tokens
		// The end may also come on its own, ahead of the last token.
		w.flight = append(w.flight, w.end())
	}
	w.flight = append(w.flight, frame{
		attempt: w.attempt,
		Frame:   f,
	})
}

func (w *world) end() frame {
	return frame{
		attempt: w.attempt,
		Frame: &Frame{
			Generation: name(w.engine),
			End:        "stop",
			Total:      tokens,
		},
	}
}

func (w *world) arrive(i int, gone bool) {
	if i >= len(w.flight) {
		return
	}
	f := w.flight[i]
	if gone {
		w.flight = slices.Delete(slices.Clone(w.flight), i, i+1)
	}
	w.take(f)
}

// take gives the receiver a frame, tampered with by the broken variant.
func (w *world) take(f frame) {
	r := w.receiver
	in := &Frame{
		Generation: f.Generation,
		Seq:        f.Seq,
		Text:       f.Text,
		End:        f.End,
		Fault:      f.Fault,
		Total:      f.Total,
	}
	switch w.broken {
	case anyGen:
		in.Generation = r.generation
	case everyAttempt:
		in.Generation = r.generation
		f.attempt = r.reading
	case gaps:
		if in.Seq > r.last+1 {
			r.last = in.Seq - 1
		}
	case repeats:
		if in.Seq > 0 && in.Seq <= r.last {
			in.Seq = r.last + 1
		}
	case cuts:
		if in.End != "" && len(in.Text) == 0 {
			in.Total = r.last
		}
	}
	w.act(r.Frame(f.attempt, in))
}

func (w *world) act(d Decision) {
	w.got = append(w.got, d.Tokens()...)
	switch d.Action() {
	case Finish:
		w.told = "whole"
	case Reopen:
		w.sent = w.receiver.Last()
	case Elsewhere:
		w.start()
	case Fail:
		if w.broken == splices && w.engine == 0 {
			w.receiver = New(Spec{
				From: w.receiver.Last(),
			})
			w.start()
			w.sent = w.receiver.Last()
			return
		}
		w.told = string(d.Problem().Kind())
	}
}

func (w *world) start() {
	w.engine++
	w.sent = 0
	w.attempt = w.receiver.Begin(name(w.engine))
}

// comeBack plays a streaming caller that lost its entry and resumes through
// another with the last token that it has.
func (w *world) comeBack() {
	if w.whole || len(w.got) == 0 || w.told != "" {
		return
	}
	from := uint64(len(w.got))
	if w.broken == restarts {
		from = 0
	}
	w.receiver = New(Spec{
		From:   from,
		Pinned: true,
	})
	w.flight = nil // they went to the other entry
	w.attempt = w.receiver.Begin(name(w.engine))
	w.sent = from
}

// check holds what the caller has had against the promises.
func (w *world) check() error {
	for i, text := range w.got {
		if want := token(w.engine, uint64(i+1)); text != want {
			return fmt.Errorf("%s: caller got %v: token %d is not %s", w.broken, w.got, i+1, want)
		}
	}
	switch {
	case w.told == "whole" && len(w.got) != tokens:
		return fmt.Errorf("%s: caller was told %v is whole", w.broken, w.got)
	case w.told != "" && w.told != "whole" && w.told != string(mgproblem.Interrupted):
		return fmt.Errorf("%s: caller was told %s", w.broken, w.told)
	case w.told == "" && w.receiver.Over():
		return fmt.Errorf("%s: caller was told nothing", w.broken)
	}
	return nil
}

// state names all that the future depends on.
func (w *world) state() string {
	var b strings.Builder
	r := w.receiver
	fmt.Fprint(&b, w.engine, w.sent, w.attempt, w.got, w.told, r.reading, r.begun, r.started, r.generation, r.last, r.refusals, r.over, r.spec)
	for _, f := range w.flight {
		fmt.Fprint(&b, "|", f.attempt, f.Generation, f.Seq, f.Text, f.End)
	}
	return b.String()
}

// A gauger reads a report whose tokens are doubled, missing, mixed from two
// runs of the model, or cut off without a word. Frames were dropped, doubled,
// reordered or crossed, engines died, or the caller came back through another
// entry, in some order that nobody thought of.
func TestEverySchedule(t *testing.T) {
	for _, whole := range []bool{false, true} {
		report := mgexplore.Exhaust(2_000_000, model(sound, whole))
		t.Logf("delivery, whole %t, %d steps: %v", whole, steps, report)
		if report.Violation() != nil || !report.Whole() {
			t.Fail()
		}
	}
}

func TestSeededSchedules(t *testing.T) {
	for _, whole := range []bool{false, true} {
		report := mgexplore.Seeds(5, max(1000, *long), seeded(sound, whole))
		t.Logf("delivery, whole %t, seeded: %v", whole, report)
		if report.Violation() != nil {
			t.Fail()
		}
	}
}

// The model itself could be blind. Each named variant lacks one guard, and the
// model must say so.
func TestBrokenVariants(t *testing.T) {
	for _, broken := range []fault{anyGen, gaps, repeats, cuts, splices, restarts, silent, everyAttempt} {
		report := mgexplore.Exhaust(2_000_000, model(broken, false))
		t.Logf("%v", report)
		if report.Violation() == nil {
			t.Errorf("%s: not caught", broken)
		}
	}
}
