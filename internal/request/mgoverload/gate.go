package mgoverload

import (
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Thresholds of a Gate.
const (
	// Target is the wait of an event from which it counts as long. A request takes five or six such
	// waits, and must fit into the shortest deadlines of lookups, some 600 ms.
	Target = 30 * mgclock.Millis(1)
	// Interval is the time without a short wait after which the gate closes: longer than a garbage
	// collection on a small processor, and than a processor's quota is exhausted.
	Interval = 300 * mgclock.Millis(1)
	// Memory is the time after a closing in which the gate closes at the first long wait.
	Memory = 2 * mgclock.Second
	// MaxClosed is the longest time for which nothing is admitted. A process that says that it is
	// ready must not look dead to new callers.
	MaxClosed = mgclock.Second
)

// A Gate decides whether a process accepts new connections. The zero Gate is open. It is safe for
// concurrent use.
type Gate struct {
	mu sync.Mutex
	// firstLong and lastLong are the times of the first and the last long wait since the last short
	// one, if hasLong.
	firstLong, lastLong mgclock.Millis
	hasLong             bool
	closedAt            mgclock.Millis // when it last admitted nothing, if wasClosed
	wasClosed           bool
	admittedAt          mgclock.Millis // when it last admitted a connection
}

// Observe records that an event that was handled at now had waited for a time.
func (g *Gate) Observe(now, wait mgclock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if wait < Target {
		g.hasLong = false
		return
	}
	g.recordLong(now, wait)
}

// recordLong records a long wait that goes on until now. One that has begun long after the last ended is
// the first of a new series. The caller holds mu.
func (g *Gate) recordLong(now, wait mgclock.Millis) {
	if !g.hasLong || now-wait > g.lastLong+Interval {
		g.hasLong, g.firstLong = true, now
	}
	g.lastLong = now
}

// Admits reports whether a new connection may be served. pending is the time for which the oldest
// event that isn't handled yet has waited, 0 if there is none.
func (g *Gate) Admits(now, pending mgclock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isClosed(now, pending) && now < g.admittedAt+MaxClosed {
		return false
	}
	g.admittedAt = now
	return true
}

// IsClosed reports whether the wait of events is long enough to close the gate. Its arguments are
// those of Admits.
func (g *Gate) IsClosed(now, pending mgclock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isClosed(now, pending)
}

// isClosed is IsClosed for callers that hold mu.
func (g *Gate) isClosed(now, pending mgclock.Millis) bool {
	wasClosedLately := g.wasClosed && now < g.closedAt+Memory
	if pending >= Target && (g.hasLong || wasClosedLately) {
		g.recordLong(now, pending)
	}
	if !g.hasLong || now > g.lastLong+Interval {
		return false
	}
	if !wasClosedLately && g.lastLong < g.firstLong+Interval {
		return false
	}
	g.closedAt, g.wasClosed = now, true
	return true
}
