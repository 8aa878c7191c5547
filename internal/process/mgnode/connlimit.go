package mgnode

import (
	"net"
	"net/http"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// limitedListener accepts connections up to a limit. It closes those beyond it unread, so that their
// callers know that nothing ran and try another process at once: in the accept queue they would wait,
// and without a limit the process runs out of memory or descriptors and loses all its answers.
type limitedListener struct {
	net.Listener
	conns      *connTracker
	limit      int // 0 stands for none
	log        logr.Logger
	onRefused  func() // may be nil
	refused    int64
	nextReport mgclock.Millis
}

const (
	// refusalReportInterval is the least time between two log lines of refused connections.
	refusalReportInterval = mgclock.Second
	// firstRequestTime is the time that a new connection has for its first request before it may be
	// ended for another one.
	firstRequestTime = mgclock.Second
)

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.limit == 0 || l.conns.makeRoom(l.limit) {
			return conn, err
		}
		_ = conn.Close() // nothing was read or sent
		l.reportRefused()
	}
}

// reportRefused reports that a connection was closed unread.
func (l *limitedListener) reportRefused() {
	l.refused++
	if l.onRefused != nil {
		l.onRefused()
	}
	if now := (mgclock.Clock{}).Now(); now >= l.nextReport {
		l.nextReport = now + refusalReportInterval
		l.log.Info("connections are closed unread: the process has as many as it may", "limit", l.limit, "closed", l.refused)
	}
}

// makeRoom reports whether one more connection may be served. At the limit it ends the one that has
// waited longest for a request; there is no room if none waits.
func (c *connTracker) makeRoom(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) < limit {
		return true
	}
	now := mgclock.Clock{}.Now()
	kept := 0
	var longest net.Conn
	for conn, tracked := range c.open {
		if tracked.evicted {
			continue
		}
		kept++
		if tracked.isEvictable(now) && (longest == nil || tracked.idleSince < c.open[longest].idleSince) {
			longest = conn
		}
	}
	if kept < limit {
		return true
	}
	if longest == nil {
		return false
	}
	c.open[longest].evicted = true
	if accepted := mglistener.ConnOf(longest); accepted != nil {
		_ = accepted.EndIdle() // fails only on a closed connection
	}
	return true
}

// isEvictable reports whether the connection waits for a request and may be ended for another one.
func (t *trackedConn) isEvictable(now mgclock.Millis) bool {
	return t.state == http.StateIdle || t.state == http.StateNew && now >= t.idleSince+firstRequestTime
}
