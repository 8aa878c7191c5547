package mgnode

import (
	"cmp"
	"net"
	"net/http"
	"slices"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// firstRequestTime is the time that a new connection has for its first request before it may be
	// ended for another one, and receivingTime the time that a request has to arrive. Ordinary callers send
	// a request at once.
	firstRequestTime = 250 * mgclock.Millis(1)
	receivingTime    = 250 * mgclock.Millis(1)
	// minEvicted is the number of ended connections that needn't be closed yet when another one is
	// accepted. On a listener with a large limit it is 1/evictedDivisor of that.
	minEvicted     = 16
	evictedDivisor = 8
)

// newClaim returns the claim of a connection that was accepted. It is called with mu held.
func (c *connTracker) newClaim(conn net.Conn) *mgbudget.Claim {
	if c.budget == nil {
		return nil
	}
	return mgbudget.NewClaim(c.budget, c.connBytes, func(bytes int64) bool { return c.evictBytes(bytes, conn) })
}

// endClaim ends the claim of a connection that is closed. It is called with mu held.
func (c *connTracker) endClaim(conn net.Conn) {
	if tracked := c.open[conn]; tracked != nil {
		tracked.claim.End()
	}
}

// waitsSince returns since when a connection has waited for its caller, or false if it may not be ended
// for another one: a request is processed on it, or the caller has had too little time.
func (t *trackedConn) waitsSince(conn net.Conn, now mgclock.Millis) (mgclock.Millis, bool) {
	if t.isEvicted(conn) {
		return 0, false
	}
	if accepted := mglistener.ConnOf(conn); accepted != nil {
		if since, ok := accepted.ReceivingSince(); ok {
			return since, now >= since+receivingTime
		}
	}
	return t.idleSince, t.state == http.StateIdle || t.state == http.StateNew && now >= t.idleSince+firstRequestTime
}

// isEvicted reports whether a connection was ended for another one and is about to be closed.
func (t *trackedConn) isEvicted(conn net.Conn) bool {
	accepted := mglistener.ConnOf(conn)
	return t.evicted && (accepted == nil || accepted.IsEnding())
}

// evict ends a connection that waits for its caller. It reports false if it no longer does. It is called
// with mu held.
func (c *connTracker) evict(conn net.Conn) bool {
	t := c.open[conn]
	accepted := mglistener.ConnOf(conn)
	if accepted != nil && !accepted.AbortRequest() {
		if t.state == http.StateActive {
			return false
		}
		_ = accepted.EndIdle() // fails only on a closed connection
	}
	t.evicted = true
	if c.onEvicted != nil {
		c.onEvicted()
	}
	return true
}

// evictionReporter returns a function that calls report, if it isn't nil, and logs the number of evictions
// from time to time. It isn't safe for concurrent use.
func evictionReporter(log logr.Logger, report func()) func() {
	var count int64
	var nextReport mgclock.Millis
	return func() {
		count++
		if report != nil {
			report()
		}
		if now := (mgclock.Clock{}).Now(); now >= nextReport {
			nextReport = now + refusalReportInterval
			log.Info("connections that wait for their callers are ended for others", "ended", count)
		}
	}
}

// makeRoom reports whether one more connection may be served. At the limit it ends the one that has
// waited longest for its caller; there is no room if none waits, or if too many that were ended aren't closed.
func (c *connTracker) makeRoom(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) < limit {
		return true
	}
	kept := 0
	for conn, tracked := range c.open {
		if !tracked.isEvicted(conn) {
			kept++
		}
	}
	mayOpen := len(c.open) < limit+max(minEvicted, limit/evictedDivisor)
	if kept < limit {
		return mayOpen
	}
	return c.evictLongest() && mayOpen
}

// acquireConn grants the bytes of a new connection. If the budget is exhausted it ends the connection that
// has waited longest for its caller.
func (c *connTracker) acquireConn() bool {
	if c.budget == nil || c.budget.AcquireConn(c.connBytes, false) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictLongest() && c.budget.AcquireConn(c.connBytes, true)
}

// evictLongest ends the connection that has waited longest for its caller. It is called with mu held.
func (c *connTracker) evictLongest() bool {
	now := mgclock.Clock{}.Now()
	var longest net.Conn
	var longestSince mgclock.Millis
	for conn, tracked := range c.open {
		if since, ok := tracked.waitsSince(conn, now); ok && (longest == nil || since < longestSince) {
			longest, longestSince = conn, since
		}
	}
	return longest != nil && c.evict(longest)
}

// evictBytes ends connections other than one, those first that have waited longest for their callers, until
// they have held some bytes of the budget. It ends none and returns false if all that wait hold less.
func (c *connTracker) evictBytes(bytes int64, except net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	type waiting struct {
		conn  net.Conn
		since mgclock.Millis
	}
	now := mgclock.Clock{}.Now()
	var candidates []waiting
	var held int64
	for conn, tracked := range c.open {
		if since, ok := tracked.waitsSince(conn, now); ok && conn != except {
			candidates = append(candidates, waiting{
				conn:  conn,
				since: since,
			})
			held += tracked.claim.Held()
		}
	}
	if held < bytes {
		return false
	}
	slices.SortFunc(candidates, func(a, b waiting) int { return cmp.Compare(a.since, b.since) })
	var freed int64
	for _, w := range candidates {
		if freed >= bytes {
			break
		}
		if c.evict(w.conn) {
			freed += c.open[w.conn].claim.Held()
		}
	}
	return freed > 0
}
