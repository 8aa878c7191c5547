package mgnode

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// minIdleTime is the time for which a connection must have been idle to be ended in overload. One that is
	// used more often ends with its next response, which can't meet a request on its way.
	minIdleTime = 300 * mgclock.Millis(1)
	// shedInterval is the least time between two times at which idle connections are ended, and maxShed the
	// number of those that are ended then. Requests that have been read wait meanwhile.
	shedInterval = 50 * mgclock.Millis(1)
	maxShed      = 64
)

// idleShedder ends connections that wait for a request while the process is overloaded. Otherwise each
// of their callers would send one more request, after whose response the connection ends, to a process that
// can't bear them. The ends are spread over some hundred ms, those that have been idle for longest first.
type idleShedder struct {
	conns *connTracker
	log   logr.Logger

	mu         sync.Mutex
	shedAt     mgclock.Millis // when connections were last ended
	hasShed    bool
	ended      int64
	nextReport mgclock.Millis
}

// wrap returns a function that returns the result of isOverloaded, and ends idle connections if it is true.
func (s *idleShedder) wrap(isOverloaded func() bool) func() bool {
	if isOverloaded == nil {
		return nil
	}
	return func() bool {
		overloaded := isOverloaded()
		if overloaded {
			s.shed(mgclock.Clock{}.Now())
		}
		return overloaded
	}
}

// shed ends idle connections unless some were ended a moment ago.
func (s *idleShedder) shed(now mgclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasShed && now < s.shedAt+shedInterval {
		return
	}
	s.hasShed, s.shedAt = true, now
	count := s.conns.endIdlest(now-minIdleTime, maxShed)
	s.ended += int64(count)
	if count > 0 && now >= s.nextReport {
		s.nextReport = now + refusalReportInterval
		s.log.Info("idle connections are ended: events wait too long for the processor", "ended", s.ended)
	}
}

// endIdlest ends connections that have been idle since a time, at most limit of them, and returns
// their number. Those that have been idle for longest go first.
func (c *connTracker) endIdlest(since mgclock.Millis, limit int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var idle []net.Conn
	for conn, tracked := range c.open {
		if tracked.state == http.StateIdle && !tracked.evicted && tracked.idleSince <= since {
			idle = append(idle, conn)
		}
	}
	if len(idle) > limit {
		slices.SortFunc(idle, func(a, b net.Conn) int { return cmp.Compare(c.open[a].idleSince, c.open[b].idleSince) })
		idle = idle[:limit]
	}
	for _, conn := range idle {
		c.open[conn].evicted = true
		if accepted := mglistener.ConnOf(conn); accepted != nil {
			_ = accepted.EndIdle() // fails only on a closed connection
		}
	}
	return len(idle)
}
