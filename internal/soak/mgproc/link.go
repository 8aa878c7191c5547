package mgproc

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Link is a proxy in front of a process, which can cut, silence, delay, block and drop
// traffic. Other processes connect to its address, which accepts connections even if
// the target doesn't run. The process that created the link uses Dial, which fails if
// the target refuses the connection.
type Link struct {
	listener     net.Listener
	target       string
	wg           sync.WaitGroup
	delay        atomic.Int64 // ms, for each forwarded chunk
	dropsReplies atomic.Bool  // drops what the target sends

	mu          sync.Mutex
	isBlocked   bool
	connections map[*connection]bool
}

// connection is one proxied connection of a Link.
type connection struct {
	caller, target net.Conn
	mu             sync.Mutex
	silenced       chan struct{} // closed when forwarding has ended for good
	closed         chan struct{}
	once           sync.Once
}

// NewLink returns a link to target that listens on a free loopback port.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &Link{
		listener:    listener,
		target:      target,
		connections: make(map[*connection]bool),
	}
	link.wg.Add(1)
	go link.accept()
	return link, nil
}

// Addr returns the address to use in place of the target's.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Dial connects to the target over the link. It fails if the target refuses the
// connection.
func (l *Link) Dial(ctx context.Context) (net.Conn, error) {
	var dialer net.Dialer
	target, err := dialer.DialContext(ctx, "tcp", l.target)
	if err != nil {
		return nil, err
	}
	caller, relayEnd := net.Pipe()
	l.wg.Go(func() { l.relay(relayEnd, target) })
	return caller, nil
}

// Cut resets the open connections and returns their number. New connections work.
func (l *Link) Cut() int {
	open := l.openConnections()
	for _, c := range open {
		c.reset()
	}
	return len(open)
}

// DropSilently stops forwarding on the open connections for good without closing them, as
// when a middlebox has lost their state, and returns their number. New connections
// work.
func (l *Link) DropSilently() int {
	open := l.openConnections()
	for _, c := range open {
		c.silence()
	}
	return len(open)
}

// Block closes the open connections and closes new ones at once, until it is called
// with false.
func (l *Link) Block(blocked bool) {
	l.mu.Lock()
	l.isBlocked = blocked
	l.mu.Unlock()
	if blocked {
		l.Cut()
	}
}

// Delay holds each forwarded chunk for the given time.
func (l *Link) Delay(delay mgclock.Millis) { l.delay.Store(int64(delay)) }

// DropReplies drops what the target sends until it is called with false, as a link
// that fails in one direction. The dropped bytes are lost, so that the open
// connections are closed at the end.
func (l *Link) DropReplies(drop bool) {
	if l.dropsReplies.Swap(drop) && !drop {
		l.Cut()
	}
}

// Close closes the listener and all connections and waits for their goroutines.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Block(true)
	l.wg.Wait()
}

func (l *Link) openConnections() []*connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []*connection
	for c := range l.connections {
		open = append(open, c)
	}
	return open
}

func (l *Link) accept() {
	defer l.wg.Done()
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wg.Add(1)
		go l.connect(caller)
	}
}

// connect connects an accepted connection to the target.
func (l *Link) connect(caller net.Conn) {
	defer l.wg.Done()
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	l.relay(caller, target)
}

// relay forwards one connection in both directions until one end closes it.
func (l *Link) relay(caller, target net.Conn) {
	c := &connection{
		caller:   caller,
		target:   target,
		silenced: make(chan struct{}),
		closed:   make(chan struct{}),
	}
	l.mu.Lock()
	blocked := l.isBlocked
	l.connections[c] = true
	l.mu.Unlock()
	if blocked {
		c.reset()
	}
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(target, caller, &l.delay, nil) })
	directions.Go(func() { c.forward(caller, target, &l.delay, &l.dropsReplies) })
	directions.Wait()
	c.end(false)
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
}

// forward copies one direction. After silence it neither forwards bytes nor reports to
// one end that the other has closed.
func (s *connection) forward(to, from net.Conn, delay *atomic.Int64, drops *atomic.Bool) {
	buffer := make([]byte, 16<<10)
	hasGap := false
	for {
		n, err := from.Read(buffer)
		select {
		case <-s.silenced:
			<-s.closed
			return
		default:
		}
		if pause := mgclock.Millis(delay.Load()); pause > 0 {
			mgclock.Clock{}.Sleep(context.Background(), pause)
		}
		hasGap = hasGap || n > 0 && drops != nil && drops.Load()
		if n > 0 && !hasGap {
			if _, err := to.Write(buffer[:n]); err != nil {
				s.reset()
				return
			}
		}
		if err == io.EOF && !hasGap {
			closeWrite(to)
			return
		}
		if err != nil {
			s.reset()
			return
		}
	}
}

// closeWrite signals the end of the data to the peer. A net.Pipe can't be closed in
// one direction alone, so that it is closed whole.
func closeWrite(c net.Conn) {
	if tcp, is := c.(*net.TCPConn); is {
		_ = tcp.CloseWrite()
		return
	}
	_ = c.Close()
}

// silence stops forwarding in both directions.
func (s *connection) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.silenced:
	default:
		close(s.silenced)
	}
}

// reset breaks the connection. Neither end may take it for the end that the other one made.
func (s *connection) reset() { s.end(true) }

// end closes the connection to both ends, with a reset if isReset.
func (s *connection) end(isReset bool) {
	s.once.Do(func() {
		close(s.closed)
		for _, conn := range []net.Conn{s.caller, s.target} {
			if tcp, is := conn.(*net.TCPConn); is && isReset {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	})
}
