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
	// firstTokenGrace is how long after the first token's deadline the entry still
	// waits for a generation that an agent has started: its prefill is already paid
	// for.
	firstTokenGrace = 2 * mgclock.Second
	// maxProblemBody bounds the size of a problem that an agent sends instead of frames.
	maxProblemBody = 64 << 10
	// readAheadFrames is the number of frames buffered while the caller reads one.
	readAheadFrames = 16
)

// answerReader reads the frames of one answer from an agent.
type answerReader struct {
	entry          *Entry
	job            *job // nil for a resumed answer
	receiver       *mgdelivery.Receiver
	attempt        attempt
	attemptNumber  int // in the receiver
	stream         *mglink.Stream
	avoidAgents    map[string]bool
	receivedTokens int
	firstTokenAt   mgclock.Millis   // of the current attempt; 0 before
	progressAt     mgclock.Millis   // when the current attempt was last reported to the quarantine; 0 before
	refund         func(tokens int) // returns what the account's caps were overcharged
	preemptions    uint32
	attestedNotRun bool // the agent attests that the current attempt did not run
	engineCrashed  bool // the engine ended under the current attempt
	mayHaveRun     bool // an earlier attempt may have run
}

// errUnreachable means that the agent did not answer the request for frames.
var errUnreachable = errors.New("entry: agent did not answer; retrying on a new connection")

// open opens the stream of the attempt's generation.
func (r *answerReader) open(request context.Context) {
	r.attemptNumber = r.receiver.Begin(r.attempt.generation)
	attempt := r.attempt
	r.stream = mglink.NewStream(mglink.StreamSpec{
		Open: func(ctx context.Context, from uint64) (io.ReadCloser, error) {
			body, err := r.entry.openFrames(ctx, attempt, from)
			if errors.Is(err, errUnreachable) {
				r.entry.reportFailed(request, attempt.agent)
			}
			return body, err
		},
		Clock:    r.entry.spec.Clock,
		Interval: mgclock.Millis(r.entry.spec.Settings.HeartbeatInterval),
		From:     r.receiver.Last(),
	})
}

// close releases the reader's resources. Only the goroutine that reads may call
// it.
func (r *answerReader) close() {
	r.stream.Close()
	r.attempt.release()
	r.refund(r.receivedTokens)
}

// openFrames requests frames on a new connection. The agent may have been
// replaced in the meantime, so the request goes to the upstream's current agent.
func (e *Entry) openFrames(ctx context.Context, attempt attempt, from uint64) (io.ReadCloser, error) {
	agent := attempt.agent
	if now, ok := e.agentByUpstream(agent.Upstream()); ok {
		agent = now
	}
	url := e.spec.BaseURL(agent.PeerAddr()) + mgrpc.FramesPath + attempt.generation + "?from=" + strconv.FormatUint(from, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := e.frames.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	defer response.Body.Close()
	return nil, readProblem(response)
}

func readProblem(response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBody))
	if err != nil {
		return err
	}
	problem := &mgproblem.Problem{}
	if err := problem.UnmarshalJSON(data); err != nil {
		return fmt.Errorf("entry: unexpected response from agent: %s; see the agent's log", response.Status)
	}
	return problem
}

// delivery is the next step of an answer for the caller.
type delivery struct {
	decision    mgdelivery.Decision
	problem     *mgproblem.Problem // ends the answer if it is not nil
	attempt     attempt
	preemptions uint32
	restarted   bool // the answer restarted at another agent under a new name
}

// isLast reports whether the delivery is the last of the answer.
func (d delivery) isLast() bool {
	return d.problem != nil || d.decision.Action() == mgdelivery.Finish
}

// next returns the next delivery. It restarts the generation at another agent
// where the receiver allows it.
func (r *answerReader) next(ctx context.Context) delivery {
	for {
		decision, problem := r.step(ctx)
		if cancelled := decision.Cancel(); cancelled != "" {
			go r.entry.cancelAttempt(context.WithoutCancel(ctx), r.attempt)
		}
		switch decision.Action() {
		case mgdelivery.Reopen:
			r.stream.Reopen(r.receiver.Last())
		case mgdelivery.StartOver:
			problem = r.restart(ctx)
		case mgdelivery.Fail:
			problem = decision.Problem()
		case mgdelivery.Finish:
			r.recordSuccess()
		}
		restarted := decision.Action() == mgdelivery.StartOver
		deliver := decision.Action() == mgdelivery.Deliver || decision.Action() == mgdelivery.Finish
		if deliver || restarted || problem != nil {
			return delivery{
				decision:    decision,
				problem:     problem,
				attempt:     r.attempt,
				preemptions: r.preemptions,
				restarted:   restarted,
			}
		}
	}
}

func (r *answerReader) step(ctx context.Context) (mgdelivery.Decision, *mgproblem.Problem) {
	waitCtx, cancel := r.firstTokenContext(ctx)
	defer cancel()
	frame, err := r.stream.Next(waitCtx)
	switch {
	case err == nil:
		r.recordFrame(frame)
		decision := r.receiver.HandleFrame(r.attemptNumber, decodeFrame(frame))
		if frame.GetMoved() != "" && !r.receiver.Finished() {
			r.followMove(ctx, frame)
		}
		return decision, nil
	case ctx.Err() != nil:
		return mgdelivery.Decision{}, r.callerGone(ctx)
	case waitCtx.Err() != nil:
		return mgdelivery.Decision{}, r.firstTokenLate(ctx)
	default:
		return r.receiver.HandleLoss(r.attemptNumber), nil
	}
}

// followMove continues reading from the agent that took over the generation. The
// generation stays the same, so the receiver keeps its position.
func (r *answerReader) followMove(ctx context.Context, frame *mgrpc.Frame) {
	agent, known := r.entry.spec.View().Member(frame.GetMoved())
	if !known {
		// The list of VMs is out of date: the next read finds the agent or fails.
		r.entry.spec.Log.Info("generation moved to an unknown agent", mglog.Attempt, r.attempt.id, "agent", frame.GetMoved())
		return
	}
	r.stream.Close()
	r.attempt.release()
	r.attempt = attempt{
		id:              r.attempt.id,
		agent:           agent,
		generation:      r.attempt.generation,
		priorMayHaveRun: r.attempt.priorMayHaveRun,
		release:         func() {},
		offer: &mgrpc.Offer{
			Incarnation: frame.GetIncarnation(),
		},
	}
	r.entry.spec.Metrics.Counter("followed").Inc(1)
	r.open(ctx)
}

// firstTokenContext returns a context that bounds the wait for the first token.
func (r *answerReader) firstTokenContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.job == nil || r.receiver.Last() > 0 || r.receivedTokens > 0 {
		return ctx, func() {}
	}
	remaining := r.job.firstTokenDeadline + firstTokenGrace - r.entry.spec.Clock.Now()
	return context.WithTimeout(ctx, max(remaining, 1).Duration())
}

// callerGone ends the reading for a caller that has disconnected. A caller that
// may resume can still find its generation, which the agent cancels after a
// grace period. Any other generation is cancelled at once, since nobody will
// read it.
func (r *answerReader) callerGone(ctx context.Context) *mgproblem.Problem {
	if r.job != nil && !r.job.canResume {
		go r.entry.cancelAttempt(context.WithoutCancel(ctx), r.attempt)
	}
	return mgproblem.New(mgproblem.Cancelled, mgproblem.Unknown, "the caller is gone", "resume by the answer's name")
}

// firstTokenLate cancels a request whose first token is overdue. The problem has
// the outcome that the agent attests.
func (r *answerReader) firstTokenLate(ctx context.Context) *mgproblem.Problem {
	r.stream.Close()
	return r.adjustOutcome(lateProblem(r.entry.cancelAttempt(ctx, r.attempt)))
}

func (r *answerReader) recordFrame(frame *mgrpc.Frame) {
	r.receivedTokens += len(frame.GetText())
	r.preemptions = frame.GetPreempted()
	if r.receivedTokens > 0 && r.firstTokenAt == 0 {
		r.firstTokenAt = r.entry.spec.Clock.Now()
	}
	r.engineCrashed = r.job != nil && frame.GetFault() == string(mgproblem.Crashed)
	if r.engineCrashed {
		r.recordCrash()
	}
	r.recordProgress()
	r.attestedNotRun = frame.GetFault() != "" && frame.GetOutcome() == string(mgproblem.NotRun)
}

// adjustOutcome returns the problem to report to the caller. An agent's
// attestation covers the last attempt only: an engine may have worked on an
// earlier one until it died, so that "not run" would be false for the request.
func (r *answerReader) adjustOutcome(problem *mgproblem.Problem) *mgproblem.Problem {
	if problem == nil || !r.mayHaveRun || problem.Outcome() != mgproblem.NotRun {
		return problem
	}
	return mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
		"a generation of this answer was lost, and no upstream takes the request now",
		"send the request again for a new answer").WithRetryAfter(problem.RetryAfter())
}

// restart starts another generation at another agent. The caller has received no
// token yet.
func (r *answerReader) restart(ctx context.Context) *mgproblem.Problem {
	r.stream.Close()
	if r.job == nil {
		return interruptedProblem()
	}
	r.mayHaveRun = r.mayHaveRun || !r.attestedNotRun
	if problem := r.restartProblem(); problem != nil {
		return problem
	}
	// An engine that dies fails many requests at once. Without a retry budget all of
	// them would go to the remaining engines and might overload these next.
	if !r.entry.budgets.Of(r.job.service.Name()).Spend() {
		return r.adjustOutcome(crowdedProblem())
	}
	r.avoidAgents[r.attempt.agent.Name()] = true
	r.attempt.release()
	attempt, problem := r.entry.startGeneration(ctx, r.job, r.avoidAgents)
	if problem != nil {
		return r.adjustOutcome(problem)
	}
	r.entry.spec.Metrics.Counter("elsewhere").Inc(1)
	mglog.Debug(r.entry.spec.Log).Info("generation restarted at another agent",
		mglog.Attempt, attempt.id, mglog.Upstream, attempt.agent.Upstream(), mglog.Account, r.job.account.Name())
	r.attempt = attempt
	r.mayHaveRun = r.mayHaveRun || attempt.priorMayHaveRun
	r.receivedTokens = 0
	r.progressAt = 0
	r.firstTokenAt = 0
	r.attestedNotRun = false
	r.engineCrashed = false
	r.open(ctx)
	return nil
}

func interruptedProblem() *mgproblem.Problem {
	return mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
		"the generation can't be continued", "send the request again for a new answer")
}

// decodeFrame converts a frame from its wire format.
func decodeFrame(f *mgrpc.Frame) *mgdelivery.Frame {
	return &mgdelivery.Frame{
		Generation: f.GetGeneration(),
		Seq:        f.GetSeq(),
		Tokens:     f.GetText(),
		End:        f.GetEnd(),
		Fault:      f.GetFault(),
		Total:      f.GetTotal(),
	}
}
