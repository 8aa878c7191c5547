package mglimit

import (
	"maps"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// maxWait bounds the time for which no permits of an upstream are asked for: its limit may
// rise.
const maxWait = mgclock.Second

// Waits holds the upstreams for which no permit is available for a while. The zero Waits is
// empty and ready for use by several goroutines.
type Backoffs struct {
	mu    sync.Mutex
	until map[string]mgclock.Millis
}

// Put records that there is no permit for an upstream until after a delay.
func (w *Backoffs) Set(now mgclock.Millis, upstream string, delay mgclock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.until == nil {
		w.until = map[string]mgclock.Millis{}
	}
	w.until[upstream] = now + min(max(delay, 1), maxWait)
}

// Left returns the time until a permit for an upstream may be asked for, 0 where that is
// now.
func (w *Backoffs) Left(now mgclock.Millis, upstream string) mgclock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	until, hasWait := w.until[upstream]
	if !hasWait {
		return 0
	}
	return max(until-now, 0)
}

// Forget drops all upstreams except those for which keep is true.
func (w *Backoffs) Forget(keep func(upstream string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.until, func(upstream string, _ mgclock.Millis) bool { return !keep(upstream) })
}
