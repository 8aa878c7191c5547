package mgrest

import (
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// maxRest bounds a rest, whatever an upstream asks for.
	maxRest = 10 * mgclock.Minute
	// maxWindow is the window at which the limit is lifted: about the number of
	// requests that an upstream runs at once.
	maxWindow = 32
)

// Rests holds the upstreams that asked this process for a rest. The zero Rests
// is empty and ready for use by several goroutines.
type Rests struct {
	mu         sync.Mutex
	byUpstream map[string]*rest
}

type rest struct {
	until    mgclock.Millis
	window   int // maximum of inFlight after the rest
	inFlight int // requests in flight that were sent after the first rest
	count    int // rests so far
}

// Begin begins a rest of a duration that an upstream asked for. A shorter one
// doesn't end an earlier one sooner.
func (r *Rests) Begin(now mgclock.Millis, upstream string, duration mgclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byUpstream == nil {
		r.byUpstream = map[string]*rest{}
	}
	current := r.byUpstream[upstream]
	if current == nil {
		current = &rest{}
		r.byUpstream[upstream] = current
	}
	current.until = max(current.until, now+min(duration, maxRest))
	current.window = 1
	current.count++
}

// Remaining returns the remaining time of an upstream's rest, 0 if it has none.
func (r *Rests) Remaining(now mgclock.Millis, upstream string) mgclock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current := r.byUpstream[upstream]; current != nil {
		return max(current.until-now, 0)
	}
	return 0
}

// CanSend reports whether a request may be sent to an upstream now.
func (r *Rests) CanSend(now mgclock.Millis, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.byUpstream[upstream]
	return current == nil || current.accepts(now)
}

func (r *rest) accepts(now mgclock.Millis) bool { return now >= r.until && r.inFlight < r.window }

// Acquire reports whether a request may be sent to an upstream now, and counts it.
// The caller calls ended at the request's end, with whether the upstream
// answered it.
func (r *Rests) Acquire(now mgclock.Millis, upstream string) (ended func(answered bool), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.byUpstream[upstream]
	if current == nil {
		return func(bool) {}, true
	}
	if !current.accepts(now) {
		return nil, false
	}
	current.inFlight++
	count := current.count
	return func(answered bool) { r.end(upstream, current, answered, count) }, true
}

// end ends a request that was sent after a number of rests. An answer shows what the upstream
// takes only if the upstream hasn't asked for another rest since.
func (r *Rests) end(upstream string, current *rest, answered bool, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current.inFlight--
	if !answered || count < current.count {
		return
	}
	current.window *= 2
	if current.window >= maxWindow && r.byUpstream[upstream] == current {
		delete(r.byUpstream, upstream)
	}
}

// Forget removes all upstreams except those for which keep returns true.
func (r *Rests) Forget(keep func(upstream string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for upstream := range r.byUpstream {
		if !keep(upstream) {
			delete(r.byUpstream, upstream)
		}
	}
}
