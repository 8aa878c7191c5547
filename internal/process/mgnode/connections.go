package mgnode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// connections follows the connections of a listener, so that its end can say what became
// of them. The zero value is ready for use.
type connTracker struct {
	mu           sync.Mutex
	open         map[net.Conn]*trackedConn
	closing      bool
	readCount    int // requests whose header was read while the listener closed
	handledCount int // of these, those that a handler got
}

// connection is what is known of one.
type trackedConn struct {
	state   http.ConnState
	pending bool // a request counts as read and hasn't reached a handler
}

// connectionKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// context adds a new connection to its requests' contexts, as the hook of http.Server.
func (c *connTracker) connContext(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return context.WithValue(ctx, connKey{}, c.trackedOf(conn))
}

// of returns what is known of a connection. It is called with mu held.
func (c *connTracker) trackedOf(conn net.Conn) *trackedConn {
	if c.open == nil {
		c.open = map[net.Conn]*trackedConn{}
	}
	if c.open[conn] == nil {
		c.open[conn] = &trackedConn{}
	}
	return c.open[conn]
}

// note takes a connection's new state, as the hook of http.Server.
func (c *connTracker) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	tracked := c.trackedOf(conn)
	tracked.state = state
	if c.closing && state == http.StateActive {
		c.readCount++
		tracked.pending = true
	}
}

// handle passes requests on to next. While the listener closes it counts them, and each
// is the last of its connection.
func (c *connTracker) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked, _ := r.Context().Value(connKey{}).(*trackedConn)
		if c.recordHandled(tracked) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// last reports whether the listener closes, and counts a connection's request then.
func (c *connTracker) recordHandled(tracked *trackedConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tracked != nil && tracked.pending {
		tracked.pending = false
		c.handledCount++
	}
	return c.closing
}

// drain waits until each connection has had its last response, and ends those that are
// idle. It returns after linger, or when killed ends.
func (c *connTracker) drain(killed context.Context, timeout mgclock.Millis) {
	var clock mgclock.Clock
	for end := clock.Now() + timeout; c.expireIdle() > 0 && clock.Now() < end; {
		if !clock.Sleep(killed, idlePollInterval) {
			return
		}
	}
}

// expireIdle ends the idle connections, and returns how many connections are left.
func (c *connTracker) expireIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, tracked := range c.open {
		if tracked.state == http.StateIdle {
			// A read deadline ends a connection only if it brings no request; Close could
			// meet one that has been read and not been noted yet.
			_ = conn.SetReadDeadline(time.Now())
		}
	}
	return len(c.open)
}

// close begins to count.
func (c *connTracker) beginClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// ending is what became of a listener's connections.
type closeStats struct {
	read       int // requests read while it closed
	unanswered int // of these, those whose connection was closed without an answer
	unused     int // connections without a request that its end breaks
	aborted    int // requests that its end breaks
}

// ending returns what became of the connections if those that are left end now.
func (c *connTracker) closeStats() closeStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := closeStats{
		read:       c.readCount,
		unanswered: c.readCount - c.handledCount,
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
