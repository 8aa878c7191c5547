package mgnetwork

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// ErrRefused is returned for a host that doesn't listen.
var ErrRefused = errors.New("network: connection refused: serve the host first")

// A Network connects hosts. The zero Network has none.
type Network struct {
	mu          sync.Mutex
	hosts       map[string]*host
	connections []*connection
	cuts        map[path]chan struct{} // closed when the cut heals
}

// path is from one host to another.
type path struct {
	from, to string
}

// Serve makes a host answer with h, in place of what it served before.
func (n *Network) Serve(name string, h http.Handler) {
	n.Kill(name)
	// A handler that hasn't read its request's body isn't told when the
	// connection goes; the context of all requests ends it.
	ctx, cancel := context.WithCancel(context.Background())
	served := &host{
		accept: make(chan net.Conn),
		closed: make(chan struct{}),
		cancel: cancel,
		server: &http.Server{
			Handler:     h,
			BaseContext: func(net.Listener) context.Context { return ctx },
		},
	}
	n.mu.Lock()
	if n.hosts == nil {
		n.hosts = make(map[string]*host)
	}
	n.hosts[name] = served
	n.mu.Unlock()
	go func() { _ = served.server.Serve(served) }()
}

// Kill breaks a host's connections and makes it refuse new ones.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	killed := n.hosts[name]
	delete(n.hosts, name)
	n.mu.Unlock()
	if killed != nil {
		killed.kill()
	}
}

// Silence makes the connections that were made to a host so far carry nothing
// any more.
func (n *Network) Silence(to string) {
	n.silenceWhere(func(c *connection) bool { return c.path.to == to })
}

// Cut makes the path between two hosts carry nothing, in both directions.
func (n *Network) Cut(from, to string) {
	cutPath := path{
		from: from,
		to:   to,
	}
	n.mu.Lock()
	if n.cuts == nil {
		n.cuts = make(map[path]chan struct{})
	}
	if n.cuts[cutPath] == nil {
		n.cuts[cutPath] = make(chan struct{})
	}
	n.mu.Unlock()
	n.silenceWhere(func(c *connection) bool { return c.path == cutPath })
}

// Heal ends the cut between two hosts. Connections that were tried meanwhile
// are made now, as TCP tries again by itself.
func (n *Network) Heal(from, to string) {
	cutPath := path{
		from: from,
		to:   to,
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if healed := n.cuts[cutPath]; healed != nil {
		close(healed)
		delete(n.cuts, cutPath)
	}
}

// Close breaks everything.
func (n *Network) Close() {
	n.mu.Lock()
	hosts, connections, cuts := n.hosts, n.connections, n.cuts
	n.hosts = nil
	n.connections = nil
	n.cuts = nil
	n.mu.Unlock()
	for _, healed := range cuts {
		close(healed)
	}
	for _, h := range hosts {
		h.kill()
	}
	for _, c := range connections {
		_ = c.Close()
	}
}

// Dials returns how many connections were made to a host.
func (n *Network) Dials(to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, c := range n.connections {
		if c.path.to == to {
			count++
		}
	}
	return count
}

// Transport returns a host's transport. With fresh set no connection is used
// twice.
func (n *Network) Transport(from string, fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:       n.Dial(from),
		DisableKeepAlives: fresh,
	}
}

// Dial returns a host's dial function. It takes the name from the address and
// leaves out the port.
func (n *Network) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		name, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		return n.dial(ctx, path{
			from: from,
			to:   name,
		})
	}
}

func (n *Network) dial(ctx context.Context, dialPath path) (net.Conn, error) {
	n.mu.Lock()
	cut := n.cuts[dialPath]
	n.mu.Unlock()
	if cut != nil {
		select {
		case <-cut:
		case <-ctx.Done(): // nothing came back, not even a refusal
			return nil, ctx.Err()
		}
	}
	n.mu.Lock()
	target := n.hosts[dialPath.to]
	n.mu.Unlock()
	if target == nil {
		return nil, ErrRefused
	}
	client, server := net.Pipe()
	c := &connection{
		Conn:     client,
		path:     dialPath,
		silenced: make(chan struct{}),
		closed:   make(chan struct{}),
	}
	select {
	case target.accept <- server:
	case <-target.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.connections = append(n.connections, c)
	n.mu.Unlock()
	return c, nil
}

func (n *Network) silenceWhere(match func(*connection) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.connections {
		if match(c) {
			c.silenceOnce.Do(func() { close(c.silenced) })
		}
	}
}

// host is a listener and its server.
type host struct {
	accept    chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
	cancel    context.CancelFunc
	server    *http.Server
}

// kill breaks the host's connections, and then tells its handlers: a process
// that is killed has no time for a last word.
func (h *host) kill() {
	_ = h.server.Close()
	h.cancel()
}

// Accept implements net.Listener.
func (h *host) Accept() (net.Conn, error) {
	select {
	case c := <-h.accept:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *host) Close() error {
	h.closeOnce.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *host) Addr() net.Addr { return &net.TCPAddr{} }

// conn takes what is written and brings nothing once it is dead.
type connection struct {
	net.Conn
	path        path
	silenceOnce sync.Once
	silenced    chan struct{}
	closeOnce   sync.Once
	closed      chan struct{}
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Read implements net.Conn. On a dead connection it returns once this end
// closes it; what the far end does isn't seen any more.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.silenced:
	default:
		return n, err
	}
	sink := make([]byte, 1024)
	for err == nil {
		_, err = c.Conn.Read(sink)
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn.
func (c *connection) Write(b []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}
