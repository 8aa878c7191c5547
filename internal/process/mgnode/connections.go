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
type connections struct {
	mu      sync.Mutex
	open    map[net.Conn]*connection
	closing bool
	read    int // requests whose header was read while the listener closed
	handled int // of these, those that a handler got
}

// connection is what is known of one.
type connection struct {
	state   http.ConnState
	pending bool // a request counts as read and hasn't reached a handler
}

// connectionKey is the key of a connection in the contexts of its requests.
type connectionKey struct{}

// context adds a new connection to its requests' contexts, as the hook of http.Server.
func (c *connections) context(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return context.WithValue(ctx, connectionKey{}, c.of(conn))
}

// of returns what is known of a connection. It is called with mu held.
func (c *connections) of(conn net.Conn) *connection {
	if c.open == nil {
		c.open = map[net.Conn]*connection{}
	}
	if c.open[conn] == nil {
		c.open[conn] = &connection{}
	}
	return c.open[conn]
}

// note takes a connection's new state, as the hook of http.Server.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	known := c.of(conn)
	known.state = state
	if c.closing && state == http.StateActive {
		c.read++
		known.pending = true
	}
}

// handle passes requests on to next. While the listener closes it counts them, and each
// is the last of its connection.
func (c *connections) handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		known, _ := r.Context().Value(connectionKey{}).(*connection)
		if c.last(known) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// last reports whether the listener closes, and counts a connection's request then.
func (c *connections) last(known *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known != nil && known.pending {
		known.pending = false
		c.handled++
	}
	return c.closing
}

// drain waits until each connection has had its last response, and ends those that are
// idle. It returns after linger, or when killed ends.
func (c *connections) drain(killed context.Context, linger mgclock.Millis) {
	var clock mgclock.Clock
	for end := clock.Now() + linger; c.expireIdle() > 0 && clock.Now() < end; {
		if !clock.Sleep(killed, closeLook) {
			return
		}
	}
}

// expireIdle ends the idle connections, and returns how many connections are left.
func (c *connections) expireIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, known := range c.open {
		if known.state == http.StateIdle {
			// A read deadline ends a connection only if it brings no request; Close could
			// meet one that has been read and not been noted yet.
			_ = conn.SetReadDeadline(time.Now())
		}
	}
	return len(c.open)
}

// close begins to count.
func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// ending is what became of a listener's connections.
type ending struct {
	read       int // requests read while it closed
	unanswered int // of these, those whose connection was closed without an answer
	unused     int // connections without a request that its end breaks
	cut        int // requests that its end breaks
}

// ending returns what became of the connections if those that are left end now.
func (c *connections) ending() ending {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := ending{
		read:       c.read,
		unanswered: c.read - c.handled,
	}
	for _, known := range c.open {
		switch known.state {
		case http.StateNew:
			e.unused++
		case http.StateActive:
			e.cut++
		}
	}
	return e
}
