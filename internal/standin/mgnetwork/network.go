package mgnetwork

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// ErrRefused is returned when dialing a host that isn't served.
var ErrRefused = errors.New("network: connection refused: serve the host first")

// Network connects hosts. The zero Network has no hosts.
type Network struct {
	mu          sync.Mutex
	hosts       map[string]*host
	connections []*connection
	cuts        map[path]chan struct{} // closed when the path is healed
}

// path is the direction from a dialing host to a serving host.
type path struct {
	from, to string
}

// Serve starts serving a host with h and replaces its previous server.
func (n *Network) Serve(name string, h http.Handler) {
	n.Kill(name)
	// A handler that hasn't read its request's body isn't notified when its connection
	// closes. Cancelling the base context ends it.
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

// Kill closes a host's connections and makes it refuse new ones.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	killed := n.hosts[name]
	delete(n.hosts, name)
	n.mu.Unlock()
	if killed != nil {
		killed.kill()
	}
}

// Silence stops the traffic on the connections made to a host so far. New connections
// work.
func (n *Network) Silence(to string) {
	n.silenceWhere(func(c *connection) bool { return c.path.to == to })
}

// Cut stops the traffic, in both directions, on the connections that host from dials
// to host to, existing and new.
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

// Heal ends the cut between two hosts. Dials that were blocked by the cut complete
// now, as TCP retries by itself. Connections that were open when the path was cut stay
// silent.
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

// Close heals all cuts, kills all hosts and closes all connections.
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

// Dials returns the number of connections made to a host.
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

// Transport returns an HTTP transport that dials from a host. If fresh is set, it
// opens a new connection for each request.
func (n *Network) Transport(from string, fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:       n.Dial(from),
		DisableKeepAlives: fresh,
	}
}

// Dial returns the dial function of a host. The host part of the address is the name
// of the target, and the port is ignored.
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
		case <-ctx.Done(): // a cut path doesn't even return a refusal
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

// host is the listener and the server of a host.
type host struct {
	accept    chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
	cancel    context.CancelFunc
	server    *http.Server
}

// kill closes the host's connections before it cancels its handlers, as a killed
// process can't send anything more.
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

// connection is the dialing end of a connection. Once silenced it discards what is
// written and reads nothing.
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

// Read implements net.Conn. On a silenced connection it blocks until this end is
// closed, whatever the other end does.
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
