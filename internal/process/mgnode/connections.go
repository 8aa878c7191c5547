package mgnode

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// connTracker tracks the connections of a listener, to report their state when the listener
// closes. The zero value is ready for use.
type connTracker struct {
	budget    *mgbudget.Budget // nil stands for none
	connBytes int64            // of the budget, for each connection
	onEvicted func()           // called with mu held; may be nil

	mu           sync.Mutex
	open         map[net.Conn]*trackedConn
	closing      bool
	readCount    int            // requests read while the listener was closing
	handledCount int            // of these, those that reached a handler
	idleCount    int            // connections that the close has ended because they were idle
	minSilence   mgclock.Millis // the shortest time for which one of these was idle
}

// trackedConn is the state of one connection.
type trackedConn struct {
	state     http.ConnState
	pending   bool           // a counted request has not reached a handler yet
	idleSince mgclock.Millis // when the connection was opened or last became idle
	idleEnded bool           // the close has ended it because it was idle
	evicted   bool           // it was ended for another connection while it waited for its caller
	claim     *mgbudget.Claim
}

// connKey is the context key under which a request finds the trackedConn of its connection.
type connKey struct{}

// connContext stores a connection and its state in the contexts of its requests. It is the
// ConnContext hook of http.Server.
func (c *connTracker) connContext(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked := c.trackedOf(conn)
	ctx = mgbudget.WithClaim(ctx, tracked.claim)
	return context.WithValue(mglistener.ConnContext(ctx, conn), connKey{}, tracked)
}

// trackedOf returns the state of a connection, which it creates if needed. It is called with
// mu held.
func (c *connTracker) trackedOf(conn net.Conn) *trackedConn {
	if c.open == nil {
		c.open = map[net.Conn]*trackedConn{}
	}
	if c.open[conn] == nil {
		c.open[conn] = &trackedConn{
			claim: c.newClaim(conn),
		}
	}
	return c.open[conn]
}

// stateChanged records a connection's new state. It is the ConnState hook of http.Server.
func (c *connTracker) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		c.countIdleEnd(c.open[conn])
		c.endClaim(conn)
		delete(c.open, conn)
		return
	}
	tracked := c.trackedOf(conn)
	tracked.state = state
	tracked.evicted = false
	if state == http.StateIdle || state == http.StateNew {
		tracked.idleSince = mgclock.Clock{}.Now()
	}
	if state == http.StateIdle {
		if accepted := mglistener.ConnOf(conn); accepted != nil {
			accepted.BeginIdle()
		}
	}
	if c.closing && state == http.StateActive {
		c.readCount++
		tracked.pending = true
	}
}

// wrap returns a handler that forwards requests to next. While the listener closes, it counts
// them and ends each connection after its response.
func (c *connTracker) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked, _ := r.Context().Value(connKey{}).(*trackedConn)
		if c.markHandledAndCheckClosing(tracked) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// markHandledAndCheckClosing reports whether the listener is closing. It counts the connection's
// request as handled if stateChanged has counted it as read.
func (c *connTracker) markHandledAndCheckClosing(tracked *trackedConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tracked != nil && tracked.pending {
		tracked.pending = false
		c.handledCount++
	}
	return c.closing
}

// drain waits until all connections have had their last responses, and ends those that stay
// idle. It returns after timeout, or when killed is canceled; see Serve.
//
// A response that was sent before the close doesn't announce the end of its connection, so
// the caller's next request may be on its way. An idle connection therefore stays open for
// half of timeout; the other half is left for the responses.
func (c *connTracker) drain(killed context.Context, timeout mgclock.Millis) {
	var clock mgclock.Clock
	begin := clock.Now()
	for c.endIdleAndCountOpen(begin, timeout/2) > 0 && clock.Now() < begin+timeout {
		if !clock.Sleep(killed, idlePollInterval) {
			return
		}
	}
}

// endIdleAndCountOpen ends the connections that have been idle for a period since begin, and
// returns how many connections are open in any state.
func (c *connTracker) endIdleAndCountOpen(begin, period mgclock.Millis) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := mgclock.Clock{}.Now()
	for conn, tracked := range c.open {
		if tracked.state == http.StateIdle && now >= max(begin, tracked.idleSince)+period {
			tracked.idleEnded = true
			// Close could hit a connection whose request was read and whose state change is
			// not recorded yet.
			if accepted := mglistener.ConnOf(conn); accepted != nil {
				_ = accepted.EndIdle() // fails only on a closed connection
			}
		}
	}
	return len(c.open)
}

// skipLinger makes all connections close at once when they are closed.
func (c *connTracker) skipLinger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if accepted := mglistener.ConnOf(conn); accepted != nil {
			accepted.SkipLinger()
		}
	}
}

// countIdleEnd counts a closed connection if the close of the listener has ended it because it
// was idle. It is called with mu held.
func (c *connTracker) countIdleEnd(tracked *trackedConn) {
	if tracked == nil || tracked.state != http.StateIdle || !tracked.idleEnded {
		return
	}
	silence := mgclock.Clock{}.Now() - tracked.idleSince
	if c.idleCount == 0 || silence < c.minSilence {
		c.minSilence = silence
	}
	c.idleCount++
}

// beginClose marks the listener as closing, from which on requests are counted.
func (c *connTracker) beginClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// closeStats counts a listener's requests and connections as it closes.
// A request can be both unanswered and aborted.
type closeStats struct {
	read       int            // requests read while it was closing
	unanswered int            // of these, those that reached no handler, so that their connection was closed without a response
	unused     int            // connections closed before their first request
	aborted    int            // requests interrupted by the close, one for each active connection
	idle       int            // connections that were ended because they were idle
	minSilence mgclock.Millis // the shortest time for which one of the idle connections was idle
}

// statsAtClose returns the counts for a listener whose open connections are all closed now.
func (c *connTracker) statsAtClose() closeStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := closeStats{
		read:       c.readCount,
		unanswered: c.readCount - c.handledCount,
		idle:       c.idleCount,
		minSilence: c.minSilence,
	}
	for _, tracked := range c.open {
		switch tracked.state {
		case http.StateNew:
			stats.unused++
		case http.StateActive:
			stats.aborted++
		}
	}
	return stats
}
