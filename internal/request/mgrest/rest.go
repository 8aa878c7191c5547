package mgrest

import (
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// longest bounds a rest, whatever an upstream asks for.
	longest = 10 * mgclock.Minute
	// widest is the window from which on an upstream is as any other: about the requests
	// that one runs at once.
	widest = 32
)

// Rests are the upstreams that asked this process for a rest. The zero Rests is empty and
// ready for use by several goroutines.
type Rests struct {
	mu  sync.Mutex
	all map[string]*rest
}

type rest struct {
	until  mgclock.Millis
	window int // after the rest
	flying int // requests in flight that were sent after it
}

// Ask takes that an upstream wants nothing for a span.
func (r *Rests) Ask(now mgclock.Millis, upstream string, span mgclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[string]*rest{}
	}
	asked := r.all[upstream]
	if asked == nil {
		asked = &rest{}
		r.all[upstream] = asked
	}
	asked.until = max(asked.until, now+min(span, longest))
	asked.window = 1
}

// Left returns how long an upstream still rests, 0 where it doesn't.
func (r *Rests) Left(now mgclock.Millis, upstream string) mgclock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if asked := r.all[upstream]; asked != nil {
		return max(asked.until-now, 0)
	}
	return 0
}

// Takes reports whether an upstream may be sent a request now.
func (r *Rests) Takes(now mgclock.Millis, upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked := r.all[upstream]
	return asked == nil || asked.takes(now)
}

func (r *rest) takes(now mgclock.Millis) bool { return now >= r.until && r.flying < r.window }

// Take reports whether an upstream may be sent a request now, and counts it. What it
// returns is called at the request's end with whether the upstream answered it.
func (r *Rests) Take(now mgclock.Millis, upstream string) (ended func(answered bool), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked := r.all[upstream]
	if asked == nil {
		return func(bool) {}, true
	}
	if !asked.takes(now) {
		return nil, false
	}
	asked.flying++
	return func(answered bool) { r.end(upstream, asked, answered) }, true
}

func (r *Rests) end(upstream string, asked *rest, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked.flying--
	if !answered {
		return
	}
	asked.window *= 2
	if asked.window >= widest && r.all[upstream] == asked {
		delete(r.all, upstream)
	}
}

// Forget drops the upstreams that are gone: keep says which aren't.
func (r *Rests) Forget(keep func(upstream string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for upstream := range r.all {
		if !keep(upstream) {
			delete(r.all, upstream)
		}
	}
}
