package mgdelivery

import (
	"fmt"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

const (
	// DefaultGenerations bounds the generations started for one answer. Each may
	// have occupied an engine's memory; the entry's retry budget bounds the number
	// of generations started for all answers together.
	DefaultGenerations = 3
	// maxRefusals bounds the frames refused in a row. A single gap or foreign frame
	// is repaired by reading again; a stream that continues with them is given up.
	maxRefusals = 3
)

// endCancelled is the end that a generation reports when it was cancelled
// upstream.
const endCancelled = "cancelled"

// A Spec describes an answer.
type Spec struct {
	// Whole is set for a caller that gets the answer in one piece, buffered until
	// its end, instead of as a stream.
	Whole bool
	// From is the number of the last token that a resuming caller has.
	From uint64
	// Pinned is set for a resuming caller and binds it to one generation: the
	// answer's name contains its generation, so it can't start over elsewhere.
	Pinned bool
	// Generations bounds the generations started, by default
	// DefaultGenerations.
	Generations int
}

// A Receiver reads one answer. The zero Receiver is that of a streaming caller.
type Receiver struct {
	spec            Spec
	attemptCount    int    // calls of Begin that returned an attempt
	currentAttempt  int    // the attempt whose frames are accepted, or 0
	generationCount int    // generations started
	generation      string // the generation that is read
	last            uint64 // number of the last token accepted; delivered unless Whole
	buffered        []string
	refusals        int
	finished        bool
}

// New returns the Receiver of an answer.
func New(spec Spec) *Receiver {
	if spec.Whole {
		spec.From = 0 // nothing is delivered before the end
	}
	return &Receiver{
		spec: spec,
		last: spec.From,
	}
}

// Begin records that a generation was started or is resumed, and returns the
// number of the attempt with which its frames are passed to HandleFrame. It returns
// 0, under which no frame is accepted, for a generation that can't continue the
// answer.
func (r *Receiver) Begin(generation string) int {
	other := generation != r.generation
	if other && r.generationCount > 0 && r.delivered() > 0 {
		// Another generation's tokens after this one's would mix two generations in
		// one answer.
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

// Last returns the number of the last token accepted. Reading continues with
// the next.
func (r *Receiver) Last() uint64 { return r.last }

// Finished reports whether the caller was sent the end or a problem.
func (r *Receiver) Finished() bool { return r.finished }

// HandleFrame handles a frame received on an attempt's stream.
func (r *Receiver) HandleFrame(attempt int, f *Frame) Decision {
	if r.finished || attempt == 0 || attempt != r.currentAttempt {
		// A frame of an earlier attempt was in flight when the answer started over
		// elsewhere. Its tokens are of another run of the model; mixed in, they would
		// make a text that no generation wrote.
		return Decision{}
	}
	if f.Generation != r.generation {
		// The stream belongs to another generation, or the agent started over.
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

// hasGap reports whether tokens are missing before f or before the end that it
// reports. If f were accepted, the answer would lack these tokens, and if f
// reports the end, nobody would notice.
func (r *Receiver) hasGap(f *Frame, fresh []string) bool {
	if len(f.Tokens) > 0 && f.Seq > r.last+1 {
		return true
	}
	return f.End != "" && f.Total != r.last+uint64(len(fresh))
}

// accept records the fresh tokens and decides what is delivered.
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

// HandleLoss handles the loss of an attempt's generation: its agent or engine
// is gone, or the connection to it was given up.
func (r *Receiver) HandleLoss(attempt int) Decision {
	if r.finished || attempt == 0 || attempt != r.currentAttempt {
		return Decision{}
	}
	return r.giveUp("the connection to its engine is lost")
}

// fresh returns the tokens of f that were not accepted before. A reopened
// stream repeats some, and one frame may contain both.
func (r *Receiver) fresh(f *Frame) []string {
	tokens := f.Tokens
	if len(tokens) == 0 || f.Seq == 0 {
		return nil
	}
	known := r.last + 1 - f.Seq
	if known >= uint64(len(tokens)) {
		return nil
	}
	return slices.Clone(tokens[known:])
}

// end delivers the remaining tokens and the end.
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

// giveUp abandons the generation. If nothing was delivered, the answer starts
// over elsewhere. Otherwise the caller gets the problem, because no other
// generation continues this one's text.
func (r *Receiver) giveUp(cause string) Decision {
	if r.delivered() == 0 && !r.spec.Pinned && r.generationCount < r.maxGenerations() {
		r.currentAttempt = 0
		return Decision{
			action: StartOver,
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

// delivered returns how many tokens the caller has received.
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
