package mgrelay

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// generation is a streamed answer that an upstream produces for a caller of this
// relay.
type generation struct {
	ctx          context.Context // done when the attempt ends
	exchange     *exchange
	host         Host
	firstEventAt atomic.Int64   // ms of the relay's clock; 0 before the first event
	eventCount   atomic.Int64   // events delivered
	lastEventAt  mgclock.Millis // when events were last delivered
	addedAt      mgclock.Millis // when its upstream answered
	stated       string         // software version that the upstream's answer states

	backup       *backup       // nil if the request names none
	ordered      atomic.Bool   // its source was sent an order to copy or stop it
	stopOrdered  atomic.Bool   // its source was sent an order to stop it
	claimed      bool          // a move has been started, or none may start any more; guarded by generations.mu
	moveDone     chan struct{} // closed when its move is done
	resumePoints []resumePoint // where it can continue after the move; read after moveDone is closed
	isStopped    bool          // its source may have stopped it; read after moveDone is closed
	result       *moveResult   // of awaitMove; nil before its first call
	registry     *generations
}

// generations are the generations that run now, by upstream. The zero value is
// empty.
type generations struct {
	mu         sync.Mutex
	byUpstream map[string]map[*generation]bool
	evacuating map[string]bool // upstreams that are being evacuated
	added      chan struct{}   // closed when a generation is added
}

// nextAdded returns a channel that is closed when the next generation is added. A
// generation may still start at a leaving upstream, if the upstream was found to be
// leaving while the request was on its way there.
func (s *generations) nextAdded() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.added == nil {
		s.added = make(chan struct{})
	}
	return s.added
}

func (s *generations) add(ctx context.Context, now mgclock.Millis, x *exchange, host Host) *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &generation{
		ctx:      ctx,
		exchange: x,
		host:     host,
		addedAt:  now,
		stated:   x.statedVersion,
		backup:   x.backup,
		moveDone: make(chan struct{}),
		registry: s,
	}
	if s.byUpstream == nil {
		s.byUpstream = map[string]map[*generation]bool{}
		s.evacuating = map[string]bool{}
	}
	if s.byUpstream[host.Name] == nil {
		s.byUpstream[host.Name] = map[*generation]bool{}
	}
	s.byUpstream[host.Name][r] = true
	if s.added != nil {
		close(s.added)
		s.added = nil
	}
	return r
}

func (s *generations) remove(r *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byUpstream[r.host.Name], r)
	if len(s.byUpstream[r.host.Name]) == 0 {
		delete(s.byUpstream, r.host.Name)
	}
}

// hostsNotEvacuating returns the upstreams that run generations and are not being
// evacuated.
func (s *generations) hostsNotEvacuating() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []Host
	for name, at := range s.byUpstream {
		if s.evacuating[name] {
			continue
		}
		for r := range at {
			hosts = append(hosts, r.host)
			break
		}
	}
	return hosts
}

// hosts returns the upstreams that run generations.
func (s *generations) hosts() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := make([]Host, 0, len(s.byUpstream))
	for _, at := range s.byUpstream {
		for r := range at {
			hosts = append(hosts, r.host)
			break
		}
	}
	return hosts
}

// setEvacuating records whether an upstream is being evacuated.
func (s *generations) setEvacuating(name string, isEvacuating bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isEvacuating {
		s.evacuating[name] = true
		return
	}
	delete(s.evacuating, name)
}

// claimNext claims the unclaimed generation of an upstream whose move is worth most,
// and returns it, or nil.
func (s *generations) claimNext(now mgclock.Millis, name string) *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *generation
	maxWorth := 0.0
	for r := range s.byUpstream[name] {
		if r.claimed {
			continue
		}
		if worth := r.state(now).Benefit(); best == nil || worth > maxWorth {
			best, maxWorth = r, worth
		}
	}
	if best != nil {
		best.claimed = true
	}
	return best
}

// isClaimed reports whether a move of a generation was started, or none may start any
// more. A move makes the upstream end the generation's stream.
func (s *generations) isClaimed(r *generation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.claimed
}

// recordEvents counts delivered events. It returns the time per token since the
// previous events, or false for the first events.
func (r *generation) recordEvents(now mgclock.Millis, events int64) (perToken float64, ok bool) {
	elapsed := now - r.lastEventAt
	ok = !r.firstEventAt.CompareAndSwap(0, int64(now)) && events > 0
	r.lastEventAt = now
	r.eventCount.Add(events)
	if !ok {
		return 0, false
	}
	return float64(elapsed) / float64(events*int64(r.tokensPerEvent())), true
}

// tokensPerEvent returns the number of tokens in an event.
func (r *generation) tokensPerEvent() int {
	if service := r.exchange.call.Table.Service(r.exchange.service); service != nil {
		return service.TokensPerEvent()
	}
	return 1
}

// state returns the generation's progress, from which the worth of its move is
// computed.
func (r *generation) state(now mgclock.Millis) mgmigration.Run {
	state := mgmigration.Run{
		Prompt:         r.exchange.size.prompt,
		ExpectedOutput: r.exchange.size.output,
		Generated:      r.tokensPerEvent() * int(r.eventCount.Load()),
		CanResume:      r.exchange.call.Route.Resumes(),
		HasBackup:      r.hasUsableBackup(now),
	}
	if first := r.firstEventAt.Load(); first > 0 {
		state.Elapsed = now - mgclock.Millis(first)
	}
	return state
}

// hasAny reports whether an upstream runs generations.
func (s *generations) hasAny(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byUpstream[name]) > 0
}

// moveOutcomeTimeout bounds how long a stream that broke off waits for the outcome of
// its move: a call to the source may still be in flight. The caller sees the wait as
// a pause, and a stream that pauses for longer is late in any case.
const moveOutcomeTimeout = mgclock.Second

// moveOutcomeTimeoutWithBackup replaces moveOutcomeTimeout for a generation that has a
// backup to continue from. Callers expect no pause over 180 ms; a last copy takes up to
// 100 ms, and a source that is gone may not answer at all.
const moveOutcomeTimeoutWithBackup = 120 * mgclock.Millis(1)

// moveResult is what is known of a generation's move when its stream has ended.
type moveResult struct {
	points    []resumePoint // where the generation can continue
	isStopped bool          // the source may have stopped it, and so ended the stream
	isPending bool          // the move still goes on; moveDone is closed at its end
}

// awaitMove returns the result of the move of a generation whose stream has ended. No move may
// start from then on. Only the goroutine that reads the stream may call it.
func (r *generation) awaitMove(clock mgclock.Clock) moveResult {
	if r.result == nil {
		result := r.waitForMove(clock)
		r.result = &result
	}
	return *r.result
}

func (r *generation) waitForMove(clock mgclock.Clock) moveResult {
	r.registry.mu.Lock()
	claimed := r.claimed
	r.claimed = true
	r.registry.mu.Unlock()
	if !claimed {
		return moveResult{}
	}
	var timeout <-chan struct{}
	switch {
	case !r.hasUsableBackup(clock.Now()):
		timeout = r.moveTimeout(clock)
	case !r.ordered.Load():
		return moveResult{} // it still waits for its slot or destination
	default:
		timeout = clock.After(moveOutcomeTimeoutWithBackup)
	}
	select {
	case <-r.moveDone:
		return moveResult{
			points:    r.resumePoints,
			isStopped: r.isStopped,
		}
	case <-timeout:
		return moveResult{
			isStopped: r.stopOrdered.Load(),
			isPending: true,
		}
	case <-r.ctx.Done():
		return moveResult{
			isStopped: r.stopOrdered.Load(),
		}
	}
}

// moveTimeout returns a channel that is closed when the outcome of a move is no longer awaited. It
// is nil for a generation whose source was ordered to stop it: where it can continue is known only
// with the reply to that order, which Spec.Move bounds.
func (r *generation) moveTimeout(clock mgclock.Clock) <-chan struct{} {
	if r.stopOrdered.Load() {
		return nil
	}
	return clock.After(moveOutcomeTimeout)
}

// mayBeStopped reports whether the source of a generation whose stream has ended may have been
// stopped by the order of a move. It waits for the reply to that order.
func (r *generation) mayBeStopped(clock mgclock.Clock) bool {
	return r.stopOrdered.Load() && r.awaitMove(clock).isStopped
}
