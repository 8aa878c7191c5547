package mgagent

import (
	"context"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// A generation is one run of a model as the agent holds it: the tokens so far,
// for every reader that comes, and how it ended.
type generation struct {
	id             string
	account        string
	service        string
	spec           mgengine.StartSpec
	wholeOnly      bool     // its caller takes nothing but the whole answer
	priorDelivered int      // tokens that a predecessor may have delivered
	previousAgents []string // agents that had it before

	mu          sync.Mutex
	tokens      []string
	end         string
	problem     *mgproblem.Problem
	preemptions uint32
	changed     chan struct{}
	readers     int
	idleSince   mgclock.Millis // when the last reader left
	endedAt     mgclock.Millis // when it ended
	cancel      func()         // ends the engine's stream, nil while it waits
	moveDone    chan struct{}  // while a move of it is under way; closed at its end
	movedTo     successor      // who goes on with it, once it has moved
	moveTried   bool           // a move of it has been tried
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

// successor is the agent that goes on with a generation.
type successor struct {
	agent       string
	incarnation string
}

// view is what a reader sees of a generation at one time.
type view struct {
	tokens      []string
	end         string
	problem     *mgproblem.Problem
	preemptions uint32
	total       uint64
	hasMore     bool // there are more tokens than one frame holds
	movedTo     successor
	changed     <-chan struct{}
}

// over reports whether nothing will follow.
func (v view) isFinal() bool { return v.end != "" || v.problem != nil || v.movedTo.agent != "" }

// The bounds of one frame. A reader that begins anew may be behind by a whole
// answer; in one frame a long one is above what the link takes, and could never
// be read again.
const (
	maxFrameTokens = 1024
	maxFrameBytes  = 64 << 10
)

// portion returns how many of the tokens one frame holds, at least one.
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

// after returns the tokens that follow the first count, as many as one frame
// holds, and a channel that is closed when there is more. How the generation
// ended goes with its last token. The tokens are shared and never change.
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

// produced returns the number of tokens.
func (g *generation) tokenCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tokens)
}

// delivered returns the number of tokens that its caller may have.
func (g *generation) deliveredTokens() int { return max(g.tokenCount(), g.priorDelivered) }

// accept takes the engine's token and reports whether it was the next one, and
// whether the engine evicted the generation since the last. A stream that was
// opened again repeats what the agent has; it is dropped.
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

// endedLocked reports whether the generation is over.
func (g *generation) isEndedLocked() bool {
	return g.end != "" || g.problem != nil || g.movedTo.agent != ""
}

// finish ends the generation; only the first end counts.
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

// part begins a move, unless the generation is over, has no token yet, or is
// being moved already.
func (g *generation) beginMove() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isEndedLocked() || g.moveDone != nil || len(g.tokens) == 0 {
		return false
	}
	g.moveDone = make(chan struct{})
	return true
}

// parted ends a move. With a successor the generation is over here; its readers
// are told who goes on.
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

// settle waits for a move that is under way. A stream that broke off may have
// been stopped by it.
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

// departing reports whether a move is under way.
func (g *generation) isMoving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.moveDone != nil
}

// moved reports whether another agent goes on with the generation.
func (g *generation) hasMoved() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.movedTo.agent != ""
}

// text returns the tokens so far; they are shared and never change.
func (g *generation) tokensSoFar() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens[:len(g.tokens):len(g.tokens)]
}

// ended reports whether the generation is over.
func (g *generation) isEnded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isEndedLocked()
}

// cause returns why a generation that was stopped ended: its caller cancelled
// it, or its engine is reclaimed.
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

// join counts a reader in.
func (g *generation) addReader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
}

// leave counts a reader out.
func (g *generation) removeReader(now mgclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	g.idleSince = now
}

// unread reports whether a generation in progress has had no reader since
// before the time.
func (g *generation) isAbandoned(before mgclock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.isEndedLocked() && g.readers == 0 && g.idleSince <= before
}

// expired reports whether a generation ended before the time and nobody reads.
func (g *generation) isExpired(before mgclock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isEndedLocked() && g.endedAt <= before && g.readers == 0
}

// busy reports whether a stop would cut something off: the generation runs, or
// somebody still reads it.
func (g *generation) isBusy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers > 0 || !g.isEndedLocked()
}

// setCancel keeps what ends the engine's stream.
func (g *generation) setCancel(cancel func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancel = cancel
}

// stop ends the engine's stream, if one is open.
func (g *generation) cancelStream() {
	g.mu.Lock()
	cancel := g.cancel
	g.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
