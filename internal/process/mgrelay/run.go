package mgrelay

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// run is a generation that runs at an upstream for a caller of this relay.
type run struct {
	ctx   context.Context // ends with the attempt
	x     *exchange
	host  Host
	first atomic.Int64   // time of the first event, ms of the relay's clock
	made  atomic.Int64   // events delivered
	last  mgclock.Millis // when events were delivered last

	claimed bool          // a mover is at work on it; guarded by runs.mu
	ended   chan struct{} // closed when the mover is done with it
	places  []place       // where the mover let it go on; read after ended
	all     *runs
}

// runs are the generations that run now, by upstream. The zero runs is empty.
type runs struct {
	mu     sync.Mutex
	at     map[string]map[*run]bool
	moving map[string]bool // upstreams with a mover
	added  chan struct{}   // closed when a run is added
}

// late returns a channel that is closed when a run is next added: one may begin
// at an upstream that was found to leave while it was sent there.
func (s *runs) late() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.added == nil {
		s.added = make(chan struct{})
	}
	return s.added
}

func (s *runs) add(ctx context.Context, x *exchange, host Host) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &run{
		ctx:   ctx,
		x:     x,
		host:  host,
		ended: make(chan struct{}),
		all:   s,
	}
	if s.at == nil {
		s.at = map[string]map[*run]bool{}
		s.moving = map[string]bool{}
	}
	if s.at[host.Name] == nil {
		s.at[host.Name] = map[*run]bool{}
	}
	s.at[host.Name][r] = true
	if s.added != nil {
		close(s.added)
		s.added = nil
	}
	return r
}

func (s *runs) remove(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.at[r.host.Name], r)
	if len(s.at[r.host.Name]) == 0 {
		delete(s.at, r.host.Name)
	}
}

// hosts returns the upstreams with runs and without a mover.
func (s *runs) hosts() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []Host
	for name, at := range s.at {
		if s.moving[name] {
			continue
		}
		for r := range at {
			hosts = append(hosts, r.host)
			break
		}
	}
	return hosts
}

// mover notes that an upstream has a mover, or has none any more.
func (s *runs) mover(name string, there bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if there {
		s.moving[name] = true
		return
	}
	delete(s.moving, name)
}

// claim returns the run of an upstream to move next, the one that gains most by
// it first, or nil.
func (s *runs) claim(now mgclock.Millis, name string) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first *run
	most := 0.0
	for r := range s.at[name] {
		if r.claimed {
			continue
		}
		if worth := r.state(now).Worth(); first == nil || worth > most {
			first, most = r, worth
		}
	}
	if first != nil {
		first.claimed = true
	}
	return first
}

// moved reports whether a mover is, or was, at work on a run: it has the upstream end
// the run's stream.
func (s *runs) moved(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.claimed
}

// note counts events that were delivered, and returns the time that each of
// their tokens took since the events before, or false for the first.
func (r *run) note(now mgclock.Millis, events int64) (each float64, ok bool) {
	since := now - r.last
	ok = !r.first.CompareAndSwap(0, int64(now)) && events > 0
	r.last = now
	r.made.Add(events)
	if !ok {
		return 0, false
	}
	return float64(since) / float64(events*int64(r.stride())), true
}

// stride returns the tokens of an event.
func (r *run) stride() int {
	if service := r.x.call.Table.Service(r.x.service); service != nil {
		return service.Stride()
	}
	return 1
}

// state returns what is known of the run.
func (r *run) state(now mgclock.Millis) mgmigration.Run {
	state := mgmigration.Run{
		Prompt:  r.x.size.prompt,
		Output:  r.x.size.output,
		Made:    r.stride() * int(r.made.Load()),
		Resumes: r.x.call.Route.Resumes(),
	}
	if first := r.first.Load(); first > 0 {
		state.Running = now - mgclock.Millis(first)
	}
	return state
}

// any reports whether an upstream has runs.
func (s *runs) any(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.at[name]) > 0
}

// verdictWait bounds how long a stream that ended waits for what its mover
// learns of it: a call to the source that is on its way. The caller sees it as
// a pause, and a stream that pauses for longer is late in any case.
const verdictWait = mgclock.Second

// outcome returns where a generation whose stream has ended can go on.
func (r *run) outcome(clock mgclock.Clock) []place {
	r.all.mu.Lock()
	claimed := r.claimed
	r.claimed = true // no mover may begin with it any more
	r.all.mu.Unlock()
	if !claimed {
		return nil
	}
	select {
	case <-r.ended:
		return r.places
	case <-clock.After(verdictWait):
		return nil
	case <-r.ctx.Done():
		return nil
	}
}
