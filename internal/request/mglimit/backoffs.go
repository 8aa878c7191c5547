package mglimit

import (
	"maps"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// maxWait bounds the time for which no permits of an upstream are asked for, since its
// limit may rise in the meantime.
const maxWait = mgclock.Second

// Backoffs holds the upstreams for which no permit is available for a while. The zero Backoffs is
// empty and ready for use by several goroutines.
type Backoffs struct {
	mu    sync.Mutex
	until map[string]mgclock.Millis
}

// Set records that there is no permit for an upstream until after a delay.
func (b *Backoffs) Set(now mgclock.Millis, upstream string, delay mgclock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = map[string]mgclock.Millis{}
	}
	b.until[upstream] = now + min(max(delay, 1), maxWait)
}

// Left returns the time until a permit for an upstream may be asked for, 0 where that is
// now.
func (b *Backoffs) Left(now mgclock.Millis, upstream string) mgclock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, hasWait := b.until[upstream]
	if !hasWait {
		return 0
	}
	return max(until-now, 0)
}

// Forget drops all upstreams except those for which keep is true.
func (b *Backoffs) Forget(keep func(upstream string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.until, func(upstream string, _ mgclock.Millis) bool { return !keep(upstream) })
}
