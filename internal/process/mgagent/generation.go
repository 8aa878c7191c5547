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
	id      string
	account string
	service string
	spec    mgengine.StartSpec
	whole   bool     // its caller takes nothing but the whole answer
	had     int      // tokens that a predecessor may have delivered
	via     []string // agents that had it before

	mu        sync.Mutex
	tokens    []string
	end       string
	problem   *mgproblem.Problem
	preempted uint32
	changed   chan struct{}
	readers   int
	idle      mgclock.Millis // when the last reader left
	over      mgclock.Millis // when it ended
	cancel    func()         // ends the engine's stream, nil while it waits
	parting   chan struct{}  // while a move of it is under way; closed at its end
	next      successor      // who goes on with it, once it has moved
	unmoved   bool           // a move of it has been tried
}

func newGeneration(id, account, service string, spec mgengine.StartSpec, now mgclock.Millis) *generation {
	return &generation{
		id:      id,
		account: account,
		service: service,
		spec:    spec,
		idle:    now,
		changed: make(chan struct{}),
	}
}

// successor is the agent that goes on with a generation.
type successor struct {
	agent       string
	incarnation string
}

// view is what a reader sees of a generation at one time.
type view struct {
	tokens    []string
	end       string
	problem   *mgproblem.Problem
	preempted uint32
	total     uint64
	more      bool // there are more tokens than one frame holds
	next      successor
	changed   <-chan struct{}
}

// over reports whether nothing will follow.
func (v view) over() bool { return v.end != "" || v.problem != nil || v.next.agent != "" }

// The bounds of one frame. A reader that begins anew may be behind by a whole
// answer; in one frame a long one is above what the link takes, and could never
// be read again.
const (
	frameTokens = 1024
	frameBytes  = 64 << 10
)

// portion returns how many of the tokens one frame holds, at least one.
func portion(tokens []string) int {
	bytes := 0
	for i, text := range tokens {
		bytes += len(text)
		if i > 0 && (i == frameTokens || bytes > frameBytes) {
			return i
		}
	}
	return len(tokens)
}

// after returns the tokens that follow the first count, as many as one frame
// holds, and a channel that is closed when there is more. How the generation
// ended goes with its last token. The tokens are shared and never change.
func (g *generation) after(count uint64) view {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := view{
		preempted: g.preempted,
		total:     uint64(len(g.tokens)),
		changed:   g.changed,
	}
	if count < seen.total {
		end := count + uint64(portion(g.tokens[count:]))
		seen.tokens = g.tokens[count:end:end]
		seen.more = end < seen.total
	}
	if !seen.more {
		seen.end = g.end
		seen.problem = g.problem
		seen.next = g.next
	}
	return seen
}

// produced returns the number of tokens.
func (g *generation) produced() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tokens)
}

// delivered returns the number of tokens that its caller may have.
func (g *generation) delivered() int { return max(g.produced(), g.had) }

// accept takes the engine's token and reports whether it was the next one, and
// whether the engine evicted the generation since the last. A stream that was
// opened again repeats what the agent has; it is dropped.
func (g *generation) accept(token mgengine.Token) (next, evicted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endedLocked() || token.Seq != uint64(len(g.tokens))+1 {
		return false, false
	}
	evicted = uint32(token.Preempted) > g.preempted
	g.tokens = append(g.tokens, token.Text)
	g.preempted = uint32(token.Preempted)
	g.wakeLocked()
	return true, evicted
}

// endedLocked reports whether the generation is over.
func (g *generation) endedLocked() bool {
	return g.end != "" || g.problem != nil || g.next.agent != ""
}

// finish ends the generation; only the first end counts.
func (g *generation) finish(end string, problem *mgproblem.Problem, now mgclock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endedLocked() {
		return false
	}
	g.end = end
	g.problem = problem
	g.over = now
	g.wakeLocked()
	return true
}

// part begins a move, unless the generation is over, has no token yet, or is
// being moved already.
func (g *generation) part() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endedLocked() || g.parting != nil || len(g.tokens) == 0 {
		return false
	}
	g.parting = make(chan struct{})
	return true
}

// parted ends a move. With a successor the generation is over here; its readers
// are told who goes on.
func (g *generation) parted(next successor, now mgclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if next.agent != "" && !g.endedLocked() {
		g.next = next
		g.over = now
		g.wakeLocked()
	}
	close(g.parting)
	g.parting = nil
}

// settle waits for a move that is under way. A stream that broke off may have
// been stopped by it.
func (g *generation) settle(ctx context.Context) {
	g.mu.Lock()
	parting := g.parting
	g.mu.Unlock()
	if parting == nil {
		return
	}
	select {
	case <-parting:
	case <-ctx.Done():
	}
}

// departing reports whether a move is under way.
func (g *generation) departing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.parting != nil
}

// moved reports whether another agent goes on with the generation.
func (g *generation) moved() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.next.agent != ""
}

// text returns the tokens so far; they are shared and never change.
func (g *generation) text() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens[:len(g.tokens):len(g.tokens)]
}

// ended reports whether the generation is over.
func (g *generation) ended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endedLocked()
}

// cause returns why a generation that was stopped ended: its caller cancelled
// it, or its engine is reclaimed.
func (g *generation) cause() *mgproblem.Problem {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.problem != nil {
		return g.problem
	}
	return cancelled(mgproblem.Unknown)
}

func (g *generation) wakeLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// join counts a reader in.
func (g *generation) join() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
}

// leave counts a reader out.
func (g *generation) leave(now mgclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	g.idle = now
}

// unread reports whether a generation in progress has had no reader since
// before the time.
func (g *generation) unread(before mgclock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.endedLocked() && g.readers == 0 && g.idle <= before
}

// expired reports whether a generation ended before the time and nobody reads.
func (g *generation) expired(before mgclock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endedLocked() && g.over <= before && g.readers == 0
}

// busy reports whether a stop would cut something off: the generation runs, or
// somebody still reads it.
func (g *generation) busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers > 0 || !g.endedLocked()
}

// setCancel keeps what ends the engine's stream.
func (g *generation) setCancel(cancel func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancel = cancel
}

// stop ends the engine's stream, if one is open.
func (g *generation) stop() {
	g.mu.Lock()
	cancel := g.cancel
	g.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
