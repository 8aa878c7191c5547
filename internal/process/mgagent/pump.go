package mgagent

import (
	"context"
	"errors"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgoperation"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgscheduler"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

const (
	// maxPumpSleep limits the pump's sleep, so that a wake-up that the scheduler
	// computed from an estimate is never far off.
	maxPumpSleep = mgclock.Second
	// maxHeldChecks is the maximum number of queries whether the engine holds a
	// generation whose start it didn't answer.
	maxHeldChecks = 2
	// startTimeout limits the wait for the engine's answer to a start. It is
	// well below the shortest deadline to the first token.
	startTimeout = 2 * mgclock.Second
	// maxEmptyConnections is the maximum number of consecutive connections
	// without a new token. With reconnectDelay between them they outlast a short
	// stall of the engine and still end within a few seconds.
	maxEmptyConnections = 6
	reconnectDelay      = 200 * mgclock.Millis(1)
	// streamSilenceTimeout is how long an engine's stream may send nothing.
	// Engines send a heartbeat each second while a generation waits.
	streamSilenceTimeout = 3 * mgclock.Second
)

// pump executes the scheduler's decisions as they become due.
func (a *Agent) pump(ctx context.Context) {
	var decisions []mgscheduler.Decision
	for ctx.Err() == nil {
		now := a.spec.Clock.Now()
		a.mu.Lock()
		decisions = a.scheduler.Poll(now, decisions[:0])
		next := a.scheduler.NextWake(now)
		a.mu.Unlock()
		for _, decision := range decisions {
			a.applyDecision(ctx, decision)
		}
		sleep := maxPumpSleep
		if next > 0 {
			sleep = min(sleep, max(next-now, 1))
		}
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-a.spec.Clock.After(sleep):
		}
	}
}

func (a *Agent) applyDecision(ctx context.Context, decision mgscheduler.Decision) {
	g := a.generation(decision.ID)
	if g == nil {
		return
	}
	if problem := decision.GiveUp; problem != nil {
		now := a.spec.Clock.Now()
		a.attempts.Cancel(g.id, now, now)
		a.spec.Metrics.Counter("givenup").Inc(1)
		g.finish("", problem, now)
		return
	}
	a.tasks.Go(func() { a.runGeneration(ctx, g) })
}

// runGeneration starts a generation at the engine and reads it to its end.
func (a *Agent) runGeneration(ctx context.Context, g *generation) {
	// A process that was paused between the decision and this line may be past
	// the deadline or the cancel: the ledger checks the time again.
	if problem := a.attempts.MarkSent(g.id, a.spec.Clock.Now()); problem != nil {
		a.endGeneration(g, "", problem)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.setCancel(cancel)
	if g.isEnded() {
		// It was cancelled after the ledger's approval and before setCancel,
		// when there was no stream to cancel. It would run without a reader.
		a.endGeneration(g, "", g.endCause())
		return
	}
	if problem := a.startAtEngine(ctx, g); problem != nil {
		a.endGeneration(g, "", problem)
		return
	}
	a.mu.Lock()
	a.counts.started++
	a.mu.Unlock()
	a.prefix.Add(g.spec.Prefix)
	a.readTokens(ctx, g)
}

// startAtEngine starts the generation. A start without an answer isn't repeated: the
// engine starts an id only once, but an engine that has restarted since would start it
// again. The generation goes on if the engine holds it.
func (a *Agent) startAtEngine(ctx context.Context, g *generation) *mgproblem.Problem {
	err := a.tryStart(ctx, g)
	if err == nil {
		return nil
	}
	if mgengine.KindOf(err) == mgengine.NotStarted {
		// The engine counts as down until its next load report, unless it
		// refused the request itself: otherwise one account's invalid
		// requests would take the engines away from all others.
		a.engineDown.Store(!mgengine.IsRefusal(err) || a.engineDown.Load())
		return mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun,
			"the engine refused the generation", "try another upstream").WithCause(err)
	}
	held := a.holdsGeneration(ctx, g.id)
	a.spec.Log.Info("the engine didn't answer a start", mglog.Attempt, g.id,
		mglog.Upstream, a.spec.Settings.Upstream, "held", held, "why", err.Error())
	if held {
		return nil
	}
	// An engine that doesn't answer takes the whole timeout of the cancel, too.
	a.tasks.Go(func() { a.cancelAtEngine(context.WithoutCancel(ctx), g.id) })
	return mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
		"the engine did not answer", "try another upstream").WithCause(err)
}

// holdsGeneration reports whether the engine lists a generation.
func (a *Agent) holdsGeneration(ctx context.Context, id string) bool {
	for range maxHeldChecks {
		held, err := a.listGenerations(ctx)
		if err == nil {
			return slices.ContainsFunc(held, func(found mgengine.Generation) bool { return found.ID == id })
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// cancelAtEngine asks the engine to cancel a generation. Without the timeout an
// unresponsive engine would block the caller forever, and with it the sweep or
// the agent's stop.
func (a *Agent) cancelAtEngine(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout.Duration())
	defer cancel()
	_ = a.spec.Engine.Cancel(ctx, id)
}

func (a *Agent) tryStart(ctx context.Context, g *generation) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout.Duration())
	defer cancel()
	return a.spec.Engine.Start(ctx, g.spec)
}

// readTokens reads the generation's tokens, reconnecting as often as needed. The first time it
// reconnects at once, to learn whether the engine has lost the generation.
func (a *Agent) readTokens(ctx context.Context, g *generation) {
	emptyConnections := 0
	reconnectAt := a.spec.Clock.Now() // earliest time of the next connection
	for {
		before := g.tokenCount()
		token, err := a.readConnection(ctx, g)
		if err != nil {
			g.awaitMove(ctx)
		}
		switch {
		case g.hasMoved():
			a.releaseGeneration(g, mgproblem.Unknown)
			return
		case g.isEnded():
			// The cancel may have reached the engine before the start.
			a.cancelAtEngine(context.WithoutCancel(ctx), g.id)
			a.endGeneration(g, "", g.endCause())
			return
		case err == nil && token.End != "":
			a.endGeneration(g, token.End, nil)
			return
		case err == nil:
			a.endGeneration(g, "", interruptedProblem(token.Fault))
			return
		case mgengine.KindOf(err) == mgengine.Missing:
			a.endGeneration(g, "", a.lostProblem("the engine lost the generation"))
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			a.endGeneration(g, "", a.lostProblem("the engine has ended"))
			return
		}
		emptyConnections++
		if g.tokenCount() > before {
			emptyConnections = 0
		}
		if emptyConnections >= maxEmptyConnections || !a.spec.Clock.Sleep(ctx, reconnectAt-a.spec.Clock.Now()) {
			a.endGeneration(g, "", interruptedProblem("the engine can't be reached"))
			return
		}
		reconnectAt = a.spec.Clock.Now() + reconnectDelay
	}
}

// readConnection reads one connection up to the token that ends the generation.
func (a *Agent) readConnection(ctx context.Context, g *generation) (mgengine.Token, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := a.spec.Engine.Stream(ctx, g.id, uint64(g.tokenCount())+1)
	if err != nil {
		return mgengine.Token{}, err
	}
	defer stream.Close()
	// A connection that sends nothing for streamSilenceTimeout is closed.
	// Heartbeats should have arrived, so something on the network path has lost
	// track of the connection, and a new one works. One timer serves all tokens.
	silenceTimer := time.AfterFunc(streamSilenceTimeout.Duration(), cancel)
	defer silenceTimer.Stop()
	for {
		token, err := stream.Next(ctx)
		if err != nil {
			return mgengine.Token{}, unexpectedEOF(err)
		}
		silenceTimer.Reset(streamSilenceTimeout.Duration())
		if token.Seq > uint64(g.tokenCount())+1 {
			// Tokens were lost. If this one were only dropped, the answer would
			// lack its tail and still end as if complete.
			return mgengine.Token{}, mgengine.NewFailure(mgengine.Broken, "stream", "tokens are missing", nil)
		}
		a.applyToken(g, token)
		if token.End != "" || token.Fault != "" {
			return token, nil
		}
	}
}

// unexpectedEOF replaces the end of a stream before the last token by an error
// that is not io.EOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (a *Agent) applyToken(g *generation, token mgengine.Token) {
	if token.Seq == 0 {
		return
	}
	appended, preempted := g.appendToken(token)
	if !appended {
		return
	}
	now := a.spec.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if preempted {
		a.scheduler.RecordPreemption(now, g.id)
		a.ramp.Halve(now)
	}
	a.scheduler.Progress(now, g.id, int(token.Seq))
}

// lostProblem returns the problem of a generation whose engine ended. Unless that was planned, the
// generation may itself be what crashed the engine.
func (a *Agent) lostProblem(detail string) *mgproblem.Problem {
	if a.isLeaving.Load() {
		return interruptedProblem(detail)
	}
	return mgproblem.New(mgproblem.Crashed, mgproblem.Unknown, detail, "send the request again for a new answer")
}

func interruptedProblem(detail string) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown, detail, "send the request again for a new answer")
}

// endGeneration records a generation's end and releases its capacity.
func (a *Agent) endGeneration(g *generation, end string, problem *mgproblem.Problem) {
	now := a.spec.Clock.Now()
	outcome := mgproblem.Done
	if problem != nil {
		outcome = problem.Outcome()
	}
	g.finish(end, problem, now)
	if problem == nil {
		a.mu.Lock()
		a.scheduler.Finish(now, g.id)
		a.counts.finished++
		a.mu.Unlock()
	}
	a.releaseGeneration(g, outcome)
	if problem != nil {
		a.mu.Lock()
		a.counts.failed++
		a.mu.Unlock()
		a.spec.Log.Info("generation ended early", mglog.Attempt, g.id, mglog.Account, g.account,
			mglog.Service, g.service, mglog.Kind, string(problem.Kind()), "cause", problem.Error())
	}
}

// releaseGeneration releases the capacity of a generation that has ended at this
// agent.
func (a *Agent) releaseGeneration(g *generation, outcome mgproblem.Outcome) {
	now := a.spec.Clock.Now()
	a.attempts.Finish(g.id, mgoperation.Result{Outcome: outcome}, now)
	a.mu.Lock()
	a.scheduler.Abandon(now, g.id)
	a.mu.Unlock()
	a.wakePump()
}
