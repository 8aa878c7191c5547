package mgrelay

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// generation is a generation that runs at an upstream for a caller of this relay.
type generation struct {
	ctx          context.Context // ends with the attempt
	exchange     *exchange
	host         Host
	firstEventAt atomic.Int64   // time of the first event, ms of the relay's clock
	eventCount   atomic.Int64   // events delivered
	lastEventAt  mgclock.Millis // when events were delivered last

	claimed      bool          // a mover is at work on it; guarded by runs.mu
	moveDone     chan struct{} // closed when the mover is done with it
	resumePoints []resumePoint // where the mover let it go on; read after ended
	registry     *generations
}

// generations are the generations that run now, by upstream. The zero generations is empty.
type generations struct {
	mu         sync.Mutex
	byUpstream map[string]map[*generation]bool
	evacuating map[string]bool // upstreams with a mover
	added      chan struct{}   // closed when a run is added
}

// nextAdded returns a channel that is closed when a run is next added: one may begin
// at an upstream that was found to leave while it was sent there.
func (s *generations) nextAdded() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.added == nil {
		s.added = make(chan struct{})
	}
	return s.added
}

func (s *generations) add(ctx context.Context, x *exchange, host Host) *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &generation{
		ctx:      ctx,
		exchange: x,
		host:     host,
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

// hostsNotEvacuating returns the upstreams with runs and without a mover.
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

// setEvacuating notes that an upstream has a setEvacuating, or has none any more.
func (s *generations) setEvacuating(name string, isEvacuating bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isEvacuating {
		s.evacuating[name] = true
		return
	}
	delete(s.evacuating, name)
}

// claimNext returns the run of an upstream to move next, the one that gains most by
// it first, or nil.
func (s *generations) claimNext(now mgclock.Millis, name string) *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *generation
	maxWorth := 0.0
	for r := range s.byUpstream[name] {
		if r.claimed {
			continue
		}
		if worth := r.state(now).Worth(); best == nil || worth > maxWorth {
			best, maxWorth = r, worth
		}
	}
	if best != nil {
		best.claimed = true
	}
	return best
}

// isClaimed reports whether a mover is, or was, at work on a run: it has the upstream end
// the run's stream.
func (s *generations) isClaimed(r *generation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.claimed
}

// recordEvents counts events that were delivered, and returns the time that each of
// their tokens took since the events before, or false for the first.
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

// tokensPerEvent returns the tokens of an event.
func (r *generation) tokensPerEvent() int {
	if service := r.exchange.call.Table.Service(r.exchange.service); service != nil {
		return service.Stride()
	}
	return 1
}

// state returns what is known of the run.
func (r *generation) state(now mgclock.Millis) mgmigration.Run {
	state := mgmigration.Run{
		Prompt:  r.exchange.size.prompt,
		Output:  r.exchange.size.output,
		Made:    r.tokensPerEvent() * int(r.eventCount.Load()),
		Resumes: r.exchange.call.Route.Resumes(),
	}
	if first := r.firstEventAt.Load(); first > 0 {
		state.Running = now - mgclock.Millis(first)
	}
	return state
}

// hasAny reports whether an upstream has runs.
func (s *generations) hasAny(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byUpstream[name]) > 0
}

// moveOutcomeTimeout bounds how long a stream that ended waits for what its mover
// learns of it: a call to the source that is on its way. The caller sees it as
// a pause, and a stream that pauses for longer is late in any case.
const moveOutcomeTimeout = mgclock.Second

// awaitMove returns where a generation whose stream has ended can go on.
func (r *generation) awaitMove(clock mgclock.Clock) []resumePoint {
	r.registry.mu.Lock()
	claimed := r.claimed
	r.claimed = true // no mover may begin with it any more
	r.registry.mu.Unlock()
	if !claimed {
		return nil
	}
	select {
	case <-r.moveDone:
		return r.resumePoints
	case <-clock.After(moveOutcomeTimeout):
		return nil
	case <-r.ctx.Done():
		return nil
	}
}
