package mglink_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
)

// network carries HTTP in memory, within a synctest bubble, where time is
// virtual. Its connections can go silent: open for both ends, and dead.
type network struct {
	server  *http.Server
	accept  chan net.Conn
	closing chan struct{}

	mu    sync.Mutex
	conns []*silenceable
}

func newNetwork(handler http.Handler) *network {
	n := &network{
		accept:  make(chan net.Conn),
		closing: make(chan struct{}),
		server: &http.Server{
			Handler: handler,
		},
	}
	go func() { _ = n.server.Serve(n) }()
	return n
}

func (n *network) Accept() (net.Conn, error) {
	select {
	case c := <-n.accept:
		return c, nil
	case <-n.closing:
		return nil, net.ErrClosed
	}
}

func (n *network) Close() error   { return nil }
func (n *network) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	c := &silenceable{
		Conn: near,
		dead: make(chan struct{}),
	}
	n.mu.Lock()
	n.conns = append(n.conns, c)
	n.mu.Unlock()
	n.accept <- far
	return c, nil
}

func (n *network) transport() *http.Transport {
	return &http.Transport{
		DialContext: n.dial,
	}
}

// silence makes all connections made so far go silent for good.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.once.Do(func() { close(c.dead) })
	}
}

func (n *network) dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

func (n *network) stop() {
	close(n.closing)
	_ = n.server.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Conn.Close()
	}
}

// silenceable takes what is written and brings nothing once it is dead.
type silenceable struct {
	net.Conn
	once sync.Once
	dead chan struct{}
}

func (c *silenceable) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.dead:
		return c.swallow()
	default:
		return n, err
	}
}

// swallow reads on without a word until the near end closes.
func (c *silenceable) swallow() (int, error) {
	sink := make([]byte, 1024)
	for {
		if _, err := c.Conn.Read(sink); err != nil {
			return 0, err
		}
	}
}

func (c *silenceable) Write(b []byte) (int, error) {
	select {
	case <-c.dead:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

func bubble(t *testing.T, handler http.Handler, body func(*network)) {
	synctest.Test(t, func(*testing.T) {
		n := newNetwork(handler)
		body(n)
		n.stop()
		synctest.Wait()
	})
}

func token(seq uint64, text string) *mgrpc.Frame {
	return &mgrpc.Frame{
		Generation: "g",
		Seq:        seq,
		Text:       []string{text},
	}
}

func last(total uint64) *mgrpc.Frame {
	return &mgrpc.Frame{
		Generation: "g",
		End:        "stop",
		Total:      total,
	}
}
