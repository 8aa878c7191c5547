package mglimit

import (
	"maps"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// longestWait bounds how long an upstream isn't asked for: its limit may rise.
const longestWait = mgclock.Second

// Waits are the upstreams for which there is no permit for a while. The zero Waits is empty
// and ready for use by several goroutines.
type Waits struct {
	mu    sync.Mutex
	until map[string]mgclock.Millis
}

// Put takes that there is no permit for an upstream for a span.
func (w *Waits) Put(now mgclock.Millis, upstream string, span mgclock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.until == nil {
		w.until = map[string]mgclock.Millis{}
	}
	w.until[upstream] = now + min(max(span, 1), longestWait)
}

// Left returns the time until a permit for an upstream may be asked for, 0 where it may be
// now.
func (w *Waits) Left(now mgclock.Millis, upstream string) mgclock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	until, waits := w.until[upstream]
	if !waits {
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
