package mgagent

import (
	"context"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// A generation is the agent's record of one run of a model: its tokens so far,
// which any number of readers may read, and how it ended.
type generation struct {
	id             string
	account        string
	service        string
	spec           mgengine.StartSpec
	wholeOnly      bool     // the caller accepts only the complete answer
	priorDelivered int      // tokens that a previous agent may have delivered
	previousAgents []string // agents that held it before

	mu          sync.Mutex
	tokens      []string
	end         string
	problem     *mgproblem.Problem
	preemptions uint32
	changed     chan struct{}
	readers     int
	idleSince   mgclock.Millis // when the last reader disconnected
	endedAt     mgclock.Millis // valid if the generation has ended
	cancel      func()         // closes the engine's stream; nil while the generation waits
	moveDone    chan struct{}  // non-nil during a move; closed when the move ends
	movedTo     successor      // the agent that continues it, once it has moved
	moveTried   bool           // a move was tried and is not repeated
}

func newGeneration(id, account, service string, spec mgengine.StartSpec, now mgclock.Millis) *generation {
	return &generation{
		id:        id,
		account:   account,
		service:   service,
		spec:      spec,
		idleSince: now,
		changed:   make(chan struct{}),
	}
}

// successor is the agent that continues a moved generation.
type successor struct {
	agent       string
	incarnation string
}

// view is a snapshot of a generation as seen by one reader.
type view struct {
	tokens      []string
	end         string
	problem     *mgproblem.Problem
	preemptions uint32
	total       uint64
	hasMore     bool // more tokens follow than one frame holds
	movedTo     successor
	changed     <-chan struct{}
}

// isFinal reports whether nothing follows this view.
func (v view) isFinal() bool { return v.end != "" || v.problem != nil || v.movedTo.agent != "" }

// Limits of one frame. A new reader may have to catch up on a whole answer; a
// long answer in one frame would exceed the link's size limit and could never be
// read again.
const (
	maxFrameTokens = 1024
	maxFrameBytes  = 64 << 10
)

// frameTokenCount returns how many of the tokens fit into one frame, at least
// one.
func frameTokenCount(tokens []string) int {
	bytes := 0
	for i, text := range tokens {
		bytes += len(text)
		if i > 0 && (i == maxFrameTokens || bytes > maxFrameBytes) {
			return i
		}
	}
	return len(tokens)
}

// viewAfter returns the tokens after the first count ones, as many as one frame
// holds, and a channel that is closed at the next change. The view with the last
// token also contains how the generation ended. The tokens are shared and must
// not be modified.
func (g *generation) viewAfter(count uint64) view {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := view{
		preemptions: g.preemptions,
		total:       uint64(len(g.tokens)),
		changed:     g.changed,
	}
	if count < current.total {
		end := count + uint64(frameTokenCount(g.tokens[count:]))
		current.tokens = g.tokens[count:end:end]
		current.hasMore = end < current.total
	}
	if !current.hasMore {
		current.end = g.end
		current.problem = g.problem
		current.movedTo = g.movedTo
	}
	return current
}

func (g *generation) tokenCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tokens)
}

// deliveredTokens returns the number of tokens that the caller may have
// received.
func (g *generation) deliveredTokens() int { return max(g.tokenCount(), g.priorDelivered) }

// appendToken appends the engine's token if it is the next one. It reports
// whether it was, and whether the engine preempted the generation since the
// previous token. A reopened stream repeats tokens that the agent has; these are
// dropped.
func (g *generation) appendToken(token mgengine.Token) (appended, preempted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isEndedLocked() || token.Seq != uint64(len(g.tokens))+1 {
		return false, false
	}
	preempted = uint32(token.Preempted) > g.preemptions
	g.tokens = append(g.tokens, token.Text)
	g.preemptions = uint32(token.Preempted)
	g.wakeLocked()
	return true, preempted
}

// isEndedLocked reports whether the generation has ended or moved; g.mu is held.
func (g *generation) isEndedLocked() bool {
	return g.end != "" || g.problem != nil || g.movedTo.agent != ""
}

// finish records how the generation ended and reports whether it had not ended
// before; only the first end counts.
func (g *generation) finish(end string, problem *mgproblem.Problem, now mgclock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isEndedLocked() {
		return false
	}
	g.end = end
	g.problem = problem
	g.endedAt = now
	g.wakeLocked()
	return true
}

// beginMove marks the generation as being moved. It returns false if the
// generation has ended, has no token yet, or is already being moved.
func (g *generation) beginMove() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isEndedLocked() || g.moveDone != nil || len(g.tokens) == 0 {
		return false
	}
	g.moveDone = make(chan struct{})
	return true
}

// finishMove ends a move. If there is a successor, the generation ends here and
// its readers are redirected to it.
func (g *generation) finishMove(next successor, now mgclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if next.agent != "" && !g.isEndedLocked() {
		g.movedTo = next
		g.endedAt = now
		g.wakeLocked()
	}
	close(g.moveDone)
	g.moveDone = nil
}

// awaitMove waits for a move in progress, which may be the reason why the
// engine's stream broke off.
func (g *generation) awaitMove(ctx context.Context) {
	g.mu.Lock()
	moveDone := g.moveDone
	g.mu.Unlock()
	if moveDone == nil {
		return
	}
	select {
	case <-moveDone:
	case <-ctx.Done():
	}
}

// isMoving reports whether a move is in progress.
func (g *generation) isMoving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.moveDone != nil
}

// hasMoved reports whether another agent continues the generation.
func (g *generation) hasMoved() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.movedTo.agent != ""
}

// tokensSoFar returns the tokens so far. They are shared and must not be
// modified.
func (g *generation) tokensSoFar() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens[:len(g.tokens):len(g.tokens)]
}

// isEnded reports whether the generation has ended or moved.
func (g *generation) isEnded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isEndedLocked()
}

// endCause returns why a generation whose stream was cancelled ended: its caller
// cancelled it, or its engine is being reclaimed.
func (g *generation) endCause() *mgproblem.Problem {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.problem != nil {
		return g.problem
	}
	return cancelledProblem(mgproblem.Unknown)
}

func (g *generation) wakeLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) addReader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
}

func (g *generation) removeReader(now mgclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	g.idleSince = now
}

// isAbandoned reports whether a generation in progress has had no reader since
// the given time.
func (g *generation) isAbandoned(before mgclock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.isEndedLocked() && g.readers == 0 && g.idleSince <= before
}

// isExpired reports whether a generation ended before the given time and has no
// readers.
func (g *generation) isExpired(before mgclock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isEndedLocked() && g.endedAt <= before && g.readers == 0
}

// isBusy reports whether a stop would interrupt something: the generation runs,
// or a reader is still connected.
func (g *generation) isBusy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers > 0 || !g.isEndedLocked()
}

// setCancel sets the function that closes the engine's stream.
func (g *generation) setCancel(cancel func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancel = cancel
}

// cancelStream closes the engine's stream, if one is open.
func (g *generation) cancelStream() {
	g.mu.Lock()
	cancel := g.cancel
	g.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
