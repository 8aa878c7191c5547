package mglimit

import (
	"maps"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// maxWait bounds how long an upstream isn't asked for: its limit may rise.
const maxWait = mgclock.Second

// Waits are the upstreams for which there is no permit for a while. The zero Waits is empty
// and ready for use by several goroutines.
type Waits struct {
	mu    sync.Mutex
	until map[string]mgclock.Millis
}

// Put takes that there is no permit for an upstream for a span.
func (w *Waits) Put(now mgclock.Millis, upstream string, delay mgclock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.until == nil {
		w.until = map[string]mgclock.Millis{}
	}
	w.until[upstream] = now + min(max(delay, 1), maxWait)
}

// Left returns the time until a permit for an upstream may be asked for, 0 where it may be
// now.
func (w *Waits) Left(now mgclock.Millis, upstream string) mgclock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	until, hasWait := w.until[upstream]
	if !hasWait {
		return 0
	}
	return max(until-now, 0)
}

// Forget drops the upstreams that are gone: keep says which aren't.
func (w *Waits) Forget(keep func(upstream string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.until, func(upstream string, _ mgclock.Millis) bool { return !keep(upstream) })
}
