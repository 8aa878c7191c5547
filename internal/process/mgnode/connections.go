package mgnode

import (
	"net"
	"net/http"
	"sync"
)

// connections follows the connections of a listener, so that its end can say what became
// of them. The zero value is ready for use.
type connections struct {
	mu      sync.Mutex
	states  map[net.Conn]http.ConnState
	closing bool
	read    int // requests whose header was read while the listener closed
	handled int // of these, those that a handler got
}

// note takes a connection's new state, as the hook of http.Server.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states == nil {
		c.states = map[net.Conn]http.ConnState{}
	}
	if c.closing && state == http.StateActive {
		c.read++
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = state
}

// handle counts the requests that reach next while the listener closes.
func (c *connections) handle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		if c.closing {
			c.handled++
		}
		c.mu.Unlock()
		next.ServeHTTP(w, r)
	})
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
	for _, state := range c.states {
		switch state {
		case http.StateNew:
			e.unused++
		case http.StateActive:
			e.cut++
		}
	}
	return e
}
