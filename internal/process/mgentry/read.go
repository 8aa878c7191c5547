package mgentry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglink"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgdelivery"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

const (
	// slack is how long after the deadline of the first token the entry still
	// waits for a generation that the agent has started: its prefill is paid.
	slack = 2 * mgclock.Second
	// problemBody bounds a problem that an agent sends in place of frames.
	problemBody = 64 << 10
	// framesAhead is how many frames are read while the caller takes one.
	framesAhead = 16
)

// reading is one answer on its way from an agent to a caller.
type reading struct {
	entry    *Entry
	job      *job // nil for a caller that resumes
	receiver *mgdelivery.Receiver
	attempt  attempt
	number   int // the attempt's number in the receiver
	stream   *mglink.Stream
	avoid    map[string]bool
	tokens   int
	giveBack func(tokens int) // returns what the account's caps were charged too much
	evicted  uint32
	notRun   bool // the agent attests that the attempt did not run
	crashed  bool // the engine ended as it began the attempt
	doubt    bool // an attempt before this one may have run
}

// errUnreached is why there are no frames: the agent did not answer.
var errUnreached = errors.New("entry: an agent did not answer: it is asked again on a new connection")

// open connects to the attempt's generation.
func (r *reading) open(request context.Context) {
	r.number = r.receiver.Begin(r.attempt.generation)
	made := r.attempt
	r.stream = mglink.NewStream(mglink.StreamSpec{
		Open: func(ctx context.Context, from uint64) (io.ReadCloser, error) {
			body, err := r.entry.openFrames(ctx, made, from)
			if errors.Is(err, errUnreached) {
				r.entry.failed(request, made.agent)
			}
			return body, err
		},
		Clock:    r.entry.spec.Clock,
		Interval: mgclock.Millis(r.entry.spec.Settings.Beat),
		From:     r.receiver.Last(),
	})
}

// close gives back what the reading holds. It belongs to the goroutine that
// reads.
func (r *reading) close() {
	r.stream.Close()
	r.attempt.ended()
	r.giveBack(r.tokens)
}

// openFrames asks an agent for frames on a new connection. The agent may have
// been replaced since: the one that now serves the upstream is asked.
func (e *Entry) openFrames(ctx context.Context, made attempt, from uint64) (io.ReadCloser, error) {
	agent := made.agent
	if now, ok := e.byUpstream(agent.Upstream()); ok {
		agent = now
	}
	url := e.spec.Base(agent.PeerAddr()) + mgrpc.FramesPath + made.generation + "?from=" + strconv.FormatUint(from, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := e.frames.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreached, err)
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	defer response.Body.Close()
	return nil, readProblem(response)
}

func readProblem(response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, problemBody))
	if err != nil {
		return err
	}
	problem := &mgproblem.Problem{}
	if err := problem.UnmarshalJSON(data); err != nil {
		return fmt.Errorf("entry: an agent answered %s: look at its log", response.Status)
	}
	return problem
}

// A turn is what the caller is given next.
type turn struct {
	decision mgdelivery.Decision
	problem  *mgproblem.Problem // the last word, when the answer fails
	attempt  attempt
	evicted  uint32
	moved    bool // the answer started over elsewhere and has a new name
}

// over reports whether nothing follows the turn.
func (t turn) over() bool {
	return t.problem != nil || t.decision.Action() == mgdelivery.Finish
}

// next returns the next turn. It starts over elsewhere by itself where the
// receiver allows it.
func (r *reading) next(ctx context.Context) turn {
	for {
		decision, problem := r.step(ctx)
		if cancelled := decision.Cancel(); cancelled != "" {
			go r.entry.abandon(context.WithoutCancel(ctx), r.attempt)
		}
		switch decision.Action() {
		case mgdelivery.Reopen:
			r.stream.Reopen(r.receiver.Last())
		case mgdelivery.Elsewhere:
			problem = r.elsewhere(ctx)
		case mgdelivery.Fail:
			problem = decision.Problem()
		case mgdelivery.Finish:
			r.noteSound()
		}
		moved := decision.Action() == mgdelivery.Elsewhere
		deliver := decision.Action() == mgdelivery.Deliver || decision.Action() == mgdelivery.Finish
		if deliver || moved || problem != nil {
			return turn{
				decision: decision,
				problem:  problem,
				attempt:  r.attempt,
				evicted:  r.evicted,
				moved:    moved,
			}
		}
	}
}

func (r *reading) step(ctx context.Context) (mgdelivery.Decision, *mgproblem.Problem) {
	waitCtx, cancel := r.untilDue(ctx)
	defer cancel()
	frame, err := r.stream.Next(waitCtx)
	switch {
	case err == nil:
		r.note(frame)
		decision := r.receiver.Frame(r.number, frameOf(frame))
		if frame.GetMoved() != "" && !r.receiver.Over() {
			r.follow(ctx, frame)
		}
		return decision, nil
	case ctx.Err() != nil:
		return mgdelivery.Decision{}, r.callerGone(ctx)
	case waitCtx.Err() != nil:
		return mgdelivery.Decision{}, r.overdue(ctx)
	default:
		return r.receiver.Lost(r.number), nil
	}
}

// follow reads on from the agent that took the generation over. It is the same
// generation: the receiver goes on where it is.
func (r *reading) follow(ctx context.Context, frame *mgrpc.Frame) {
	agent, known := r.entry.spec.View().Member(frame.GetMoved())
	if !known {
		// The list of VMs lags, and the next read finds the agent or nothing.
		r.entry.spec.Log.Info("a generation moved to an agent that isn't known here", mglog.Attempt, r.attempt.id, "agent", frame.GetMoved())
		return
	}
	r.stream.Close()
	r.attempt.ended()
	r.attempt = attempt{
		id:         r.attempt.id,
		agent:      agent,
		generation: r.attempt.generation,
		doubt:      r.attempt.doubt,
		ended:      func() {},
		offer: &mgrpc.Offer{
			Incarnation: frame.GetIncarnation(),
		},
	}
	r.entry.spec.Metrics.Counter("followed").Inc(1)
	r.open(ctx)
}

// untilDue bounds the wait for the first token.
func (r *reading) untilDue(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.job == nil || r.receiver.Last() > 0 || r.tokens > 0 {
		return ctx, func() {}
	}
	left := r.job.due + slack - r.entry.spec.Clock.Now()
	return context.WithTimeout(ctx, max(left, 1).Duration())
}

// callerGone ends the reading for a caller that has disconnected. One that may
// resume finds its generation again: the agent cancels it after a grace time.
// Any other's is cancelled now, for nobody will read it.
func (r *reading) callerGone(ctx context.Context) *mgproblem.Problem {
	if r.job != nil && !r.job.resumes {
		go r.entry.abandon(context.WithoutCancel(ctx), r.attempt)
	}
	return mgproblem.New(mgproblem.Cancelled, mgproblem.Unknown, "the caller is gone", "resume by the answer's name")
}

// overdue gives up a request whose first token is too late, and tells the
// caller at once what the agent attests.
func (r *reading) overdue(ctx context.Context) *mgproblem.Problem {
	r.stream.Close()
	return r.withDoubt(late(r.entry.abandon(ctx, r.attempt)))
}

func (r *reading) note(frame *mgrpc.Frame) {
	r.tokens += len(frame.GetText())
	r.evicted = frame.GetPreempted()
	r.crashed = r.job != nil && r.tokens == 0 && frame.GetFault() == string(mgproblem.Crashed)
	if r.crashed {
		r.noteCrash()
	}
	r.notRun = frame.GetFault() != "" && frame.GetOutcome() == string(mgproblem.NotRun)
}

// withDoubt returns a problem as the caller is told it. What is attested of the
// last attempt says nothing of those before: an engine may have worked on one
// until it died, and "not run" would not be true of the request.
func (r *reading) withDoubt(problem *mgproblem.Problem) *mgproblem.Problem {
	if problem == nil || !r.doubt || problem.Outcome() != mgproblem.NotRun {
		return problem
	}
	return mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
		"a generation of this answer was lost, and no upstream takes the request now",
		"send the request again for a new answer").WithRetry(problem.Retry())
}

// elsewhere starts another generation where nothing was delivered.
func (r *reading) elsewhere(ctx context.Context) *mgproblem.Problem {
	r.stream.Close()
	if r.job == nil {
		return interruptedProblem()
	}
	r.doubt = r.doubt || !r.notRun
	if problem := r.dangerous(); problem != nil {
		return problem
	}
	// An engine that dies leaves many requests behind at once. Without a budget
	// all of them go to the engines that are left, which may be overloaded next.
	if !r.entry.budgets.Of(r.job.service.Name()).Spend() {
		return r.withDoubt(crowded())
	}
	r.avoid[r.attempt.agent.Name()] = true
	r.attempt.ended()
	made, problem := r.entry.begin(ctx, r.job, r.avoid)
	if problem != nil {
		return r.withDoubt(problem)
	}
	r.entry.spec.Metrics.Counter("elsewhere").Inc(1)
	mglog.Debug(r.entry.spec.Log).Info("generation started elsewhere",
		mglog.Attempt, made.id, mglog.Upstream, made.agent.Upstream(), mglog.Account, r.job.account.Name())
	r.attempt = made
	r.doubt = r.doubt || made.doubt
	r.tokens = 0
	r.open(ctx)
	return nil
}

func interruptedProblem() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
		"the generation can't be continued", "send the request again for a new answer")
}

// frameOf reads a frame off the wire.
func frameOf(f *mgrpc.Frame) *mgdelivery.Frame {
	return &mgdelivery.Frame{
		Generation: f.GetGeneration(),
		Seq:        f.GetSeq(),
		Text:       f.GetText(),
		End:        f.GetEnd(),
		Fault:      f.GetFault(),
		Total:      f.GetTotal(),
	}
}
