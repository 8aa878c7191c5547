package mgagent

import (
	"context"
	"errors"
	"io"
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
	// longestNap bounds the pump's sleep, so that a wake-up that the scheduler
	// computed from an estimate is never far off.
	maxPumpSleep = mgclock.Second
	// startTries bounds the starts of one generation at its engine; a start is
	// idempotent by id there.
	maxStartTries = 3
	// startWait is the wait for the engine's word on a start, well under the
	// shortest deadline to the first token.
	startTimeout = 2 * mgclock.Second
	// streamTries bounds the connections in a row that bring no token; with
	// streamPause they outlast an engine's short stall and still end within a
	// few seconds.
	maxEmptyConnections = 5
	reconnectDelay      = 200 * mgclock.Millis(1)
	// streamSilence is how long an engine's stream may say nothing. Engines send
	// a heartbeat each second while a generation waits.
	streamSilenceTimeout = 3 * mgclock.Second
)

// pump carries out the scheduler's decisions as they fall due.
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

// run starts a generation at the engine and reads it to its end.
func (a *Agent) runGeneration(ctx context.Context, g *generation) {
	// A process that was paused between the decision and this line may be past
	// the deadline or the cancel: the ledger looks at the clock again.
	if problem := a.attempts.Submit(g.id, a.spec.Clock.Now()); problem != nil {
		a.endGeneration(g, "", problem)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.setCancel(cancel)
	if g.isEnded() {
		// It was cancelled between the ledger's leave and this line, when there
		// was nothing yet to stop: it would run with nobody to read it.
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

// startAt starts the generation, which the engine does once per id.
func (a *Agent) startAtEngine(ctx context.Context, g *generation) *mgproblem.Problem {
	var err error
	mayHaveStarted := false // a try before may have started it
	for range maxStartTries {
		err = a.tryStart(ctx, g)
		if err == nil {
			return nil
		}
		if mgengine.KindOf(err) == mgengine.NotStarted {
			// Until the next load report. A refusal of the engine's own is about
			// this request: without the difference one account's faulty requests
			// take the engines from all others.
			a.engineDown.Store(!mgengine.Refused(err) || a.engineDown.Load())
			if mayHaveStarted {
				// A refusal speaks for this try alone. The one before was sent and
				// not answered, so that the engine may have run it until it died.
				break
			}
			return mgproblem.New(mgproblem.Crowded, mgproblem.NotRun,
				"the engine refused the generation", "try another upstream").WithCause(err)
		}
		mayHaveStarted = true
		if ctx.Err() != nil {
			break
		}
	}
	a.cancelAtEngine(context.WithoutCancel(ctx), g.id)
	return mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown,
		"the engine did not answer", "try another upstream").WithCause(err)
}

// cancelAt tells the engine to end a generation. A silent engine would hold the
// caller for good, and with it the sweep or the agent's stop.
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

// read takes the generation's tokens over as many connections as it needs.
func (a *Agent) readTokens(ctx context.Context, g *generation) {
	emptyConnections := 0
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
			a.endGeneration(g, "", a.lostProblem(g, "the engine lost the generation"))
			return
		}
		emptyConnections++
		if g.tokenCount() > before {
			emptyConnections = 0
		}
		if emptyConnections >= maxEmptyConnections || !a.spec.Clock.Sleep(ctx, reconnectDelay) {
			problem := interruptedProblem("the engine can't be reached")
			if errors.Is(err, syscall.ECONNREFUSED) {
				problem = a.lostProblem(g, "the engine has ended")
			}
			a.endGeneration(g, "", problem)
			return
		}
	}
}

// readOnce reads one connection up to the token that ends the generation.
func (a *Agent) readConnection(ctx context.Context, g *generation) (mgengine.Token, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := a.spec.Engine.Stream(ctx, g.id, uint64(g.tokenCount())+1)
	if err != nil {
		return mgengine.Token{}, err
	}
	defer stream.Close()
	// A connection that says nothing for streamSilence is given up: the engine's
	// heartbeats would have come, so something between has lost track of it, and
	// a new connection works. One timer serves all its tokens.
	silenceTimer := time.AfterFunc(streamSilenceTimeout.Duration(), cancel)
	defer silenceTimer.Stop()
	for {
		token, err := stream.Next(ctx)
		if err != nil {
			return mgengine.Token{}, unexpectedEOF(err)
		}
		silenceTimer.Reset(streamSilenceTimeout.Duration())
		if token.Seq > uint64(g.tokenCount())+1 {
			// Tokens between were lost. Dropped, this one would be the first of a
			// tail that is missing from an answer that then ends as if whole.
			return mgengine.Token{}, mgengine.NewFailure(mgengine.Broken, "stream", "tokens are missing", nil)
		}
		a.applyToken(g, token)
		if token.End != "" || token.Fault != "" {
			return token, nil
		}
	}
}

// broken tells a stream that ended without its last token from one that did.
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
		a.scheduler.Preempted(now, g.id)
		a.ramp.Halve(now)
	}
	a.scheduler.Progress(now, g.id, int(token.Seq))
}

// lost returns why a generation ended whose engine ended without a word: it may be what
// ended the engine, unless it has made tokens.
func (a *Agent) lostProblem(g *generation, detail string) *mgproblem.Problem {
	if a.isLeaving.Load() || g.tokenCount() > 0 {
		return interruptedProblem(detail)
	}
	return mgproblem.New(mgproblem.Crashed, mgproblem.Unknown, detail, "send the request again for a new answer")
}

func interruptedProblem(detail string) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Interrupted, mgproblem.Unknown, detail, "send the request again for a new answer")
}

// end closes a generation and frees its place.
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

// free gives back what a generation that is over here holds.
func (a *Agent) releaseGeneration(g *generation, outcome mgproblem.Outcome) {
	now := a.spec.Clock.Now()
	a.attempts.Finish(g.id, mgoperation.Result{Outcome: outcome}, now)
	a.mu.Lock()
	a.scheduler.Abandon(now, g.id)
	a.mu.Unlock()
	a.wakePump()
}
