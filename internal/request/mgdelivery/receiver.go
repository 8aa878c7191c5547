package mgdelivery

import (
	"fmt"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

const (
	// DefaultGenerations bounds the generations started for one answer. Each may
	// have cost an engine its memory; the entry's retry budget bounds them all.
	DefaultGenerations = 3
	// maxRefusals bounds the frames refused in a row. One gap or one crossed
	// frame is mended by reading again; a stream that goes on with them is lost.
	maxRefusals = 3
)

// endCancelled is the end of a generation that was cancelled upstream.
const endCancelled = "cancelled"

// A Spec describes an answer.
type Spec struct {
	// Whole is set for a caller that takes the answer in one piece.
	Whole bool
	// From is the last token that the caller has, for one that resumes.
	From uint64
	// Pinned is set for one that resumes: the answer's name holds its
	// generation, so there is no going elsewhere.
	Pinned bool
	// Generations bounds the generations started, by default
	// DefaultGenerations.
	Generations int
}

// A Receiver is the reading end of one answer. The zero Receiver is that of a
// streaming caller.
type Receiver struct {
	spec            Spec
	attemptCount    int    // counts Begin
	currentAttempt  int    // the attempt whose frames are taken, or 0
	generationCount int    // counts the generations
	generation      string // the one that is read
	last            uint64 // the last token taken, delivered unless whole
	buffered        []string
	refusals        int
	finished        bool
}

// New returns the Receiver of an answer.
func New(spec Spec) *Receiver {
	if spec.Whole {
		spec.From = 0 // it has had nothing before the end
	}
	return &Receiver{
		spec: spec,
		last: spec.From,
	}
}

// Begin tells that a generation was started, or is resumed, and returns the
// number of the attempt that its frames are to come with. No frame is taken
// under the number 0, which is returned for a generation that can't follow.
func (r *Receiver) Begin(generation string) int {
	other := generation != r.generation
	if other && r.generationCount > 0 && r.delivered() > 0 {
		// Another generation's tokens after this one's would be a splice.
		return 0
	}
	if other {
		r.generationCount++
		r.generation = generation
		r.last = r.spec.From
		r.buffered = nil
	}
	r.attemptCount++
	r.currentAttempt = r.attemptCount
	r.refusals = 0
	return r.currentAttempt
}

// Generation returns the generation that is read.
func (r *Receiver) Generation() string { return r.generation }

// Last returns the last token taken; reading goes on from the next.
func (r *Receiver) Last() uint64 { return r.last }

// Over reports whether the caller has had the last word.
func (r *Receiver) Over() bool { return r.finished }

// Frame takes a frame that came on an attempt's stream.
func (r *Receiver) Frame(attempt int, f *Frame) Decision {
	if r.finished || attempt == 0 || attempt != r.currentAttempt {
		// A frame of an earlier attempt was on its way when the answer went
		// elsewhere. Its tokens are of another run of the model, and mixed in
		// they would make a text that no generation wrote.
		return Decision{}
	}
	if f.Generation != r.generation {
		// A stream that was crossed with another, or an agent that started over.
		return r.refuse()
	}
	if cause := failureOf(f); cause != "" {
		return r.giveUp(cause)
	}
	fresh := r.fresh(f)
	if r.hasGap(f, fresh) {
		return r.refuse()
	}
	return r.accept(f, fresh)
}

// failureOf returns why the generation of f can't be continued, or "".
func failureOf(f *Frame) string {
	if f.End == endCancelled {
		return "it was cancelled at the engine"
	}
	return f.Fault
}

// hasGap reports whether tokens were lost before f, or before the end that it
// tells. Taken, the text would lack them, and with the end nobody would see it.
func (r *Receiver) hasGap(f *Frame, fresh []string) bool {
	if len(f.Text) > 0 && f.Seq > r.last+1 {
		return true
	}
	return f.End != "" && f.Total != r.last+uint64(len(fresh))
}

// accept notes the fresh tokens and decides what the caller is given.
func (r *Receiver) accept(f *Frame, fresh []string) Decision {
	if len(fresh) > 0 {
		r.refusals = 0
	}
	r.last += uint64(len(fresh))
	if r.spec.Whole {
		r.buffered = append(r.buffered, fresh...)
	}
	switch {
	case f.End != "":
		return r.end(f, fresh)
	case r.spec.Whole || len(fresh) == 0:
		return Decision{}
	default:
		return r.deliver(Deliver, fresh)
	}
}

// Lost tells that an attempt's generation can't be read any more: its agent or
// engine is gone, or its link gave up.
func (r *Receiver) Lost(attempt int) Decision {
	if r.finished || attempt == 0 || attempt != r.currentAttempt {
		return Decision{}
	}
	return r.giveUp("the connection to its engine is lost")
}

// fresh returns the tokens of f that were not taken yet. A reopened stream
// repeats some, and a frame may hold both.
func (r *Receiver) fresh(f *Frame) []string {
	text := f.Text
	if len(text) == 0 || f.Seq == 0 {
		return nil
	}
	known := r.last + 1 - f.Seq
	if known >= uint64(len(text)) {
		return nil
	}
	return slices.Clone(text[known:])
}

// end gives the caller the rest and the end.
func (r *Receiver) end(f *Frame, fresh []string) Decision {
	r.finished = true
	if r.spec.Whole {
		fresh = r.buffered
	}
	d := r.deliver(Finish, fresh)
	d.end = f.End
	return d
}

func (r *Receiver) refuse() Decision {
	r.refusals++
	if r.refusals > maxRefusals {
		return r.giveUp("its frames don't follow one another")
	}
	return Decision{
		action: Reopen,
	}
}

// giveUp gives up on the generation. What the caller has had decides: nothing,
// and the answer starts over elsewhere; something, and it is told so, since no
// other generation continues this one's text.
func (r *Receiver) giveUp(cause string) Decision {
	if r.delivered() == 0 && !r.spec.Pinned && r.generationCount < r.maxGenerations() {
		r.currentAttempt = 0
		return Decision{
			action: Elsewhere,
			cancel: r.generation,
		}
	}
	return r.fail(mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
		fmt.Sprintf("incomplete: %d tokens of generation %s delivered: %s", r.delivered(), r.generation, cause),
		"ask again to have a whole new answer; nothing more comes of this one"))
}

func (r *Receiver) fail(problem *mgproblem.Problem) Decision {
	r.finished = true
	return Decision{
		action:  Fail,
		cancel:  r.generation,
		problem: problem,
	}
}

func (r *Receiver) deliver(action Action, tokens []string) Decision {
	return Decision{
		action: action,
		first:  r.last + 1 - uint64(len(tokens)),
		tokens: tokens,
	}
}

// delivered counts the tokens that the caller has had.
func (r *Receiver) delivered() uint64 {
	if r.spec.Whole {
		return r.spec.From
	}
	return r.last
}

func (r *Receiver) maxGenerations() int {
	if r.spec.Generations > 0 {
		return r.spec.Generations
	}
	return DefaultGenerations
}
