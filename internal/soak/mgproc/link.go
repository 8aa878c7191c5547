package mgproc

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Link is a link between two processes that can be cut, silenced, delayed and
// cut one way. Another process connects to its address, where it listens whether its target
// lives or not; the process that made it uses Dial, which a target that is gone refuses.
type Link struct {
	listener     net.Listener
	target       string
	wg           sync.WaitGroup
	delay        atomic.Int64 // ms, of each piece that is passed on
	dropsReplies atomic.Bool  // what the target sends is dropped

	mu          sync.Mutex
	isBarred    bool
	connections map[*connection]bool
}

// strand is one connection over a Link.
type connection struct {
	caller, target net.Conn
	mu             sync.Mutex
	silenced       chan struct{} // closed once nothing more is passed on
	closed         chan struct{}
	once           sync.Once
}

// NewLink returns a link to target, which listens on a port of its own.
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

// Addr returns the address to connect to in place of the target.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Dial connects to the target over the link. A target that refuses connections refuses
// this one.
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

// Cut breaks the connections that stand and returns how many; new ones work.
func (l *Link) Cut() int {
	open := l.openConnections()
	for _, s := range open {
		s.close()
	}
	return len(open)
}

// Silence makes the connections that stand pass on nothing more, for good, as
// when something between the ends has lost track of them, and returns how many;
// new ones work.
func (l *Link) Silence() int {
	open := l.openConnections()
	for _, s := range open {
		s.silence()
	}
	return len(open)
}

// Block breaks the connections that stand and refuses new ones until it is
// called with false.
func (l *Link) Block(barred bool) {
	l.mu.Lock()
	l.isBarred = barred
	l.mu.Unlock()
	if barred {
		l.Cut()
	}
}

// Delay holds each piece that is passed on up for a while.
func (l *Link) Delay(delay mgclock.Millis) { l.delay.Store(int64(delay)) }

// DropReplies drops what the target sends, until it is called with false: a link that is
// cut one way. What was dropped does not come, so that the connections that
// stand are broken at the end.
func (l *Link) DropReplies(lost bool) {
	if l.dropsReplies.Swap(lost) && !lost {
		l.Cut()
	}
}

// Close ends the link.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Block(true)
	l.wg.Wait()
}

func (l *Link) openConnections() []*connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []*connection
	for s := range l.connections {
		open = append(open, s)
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

// carry passes one connection on until one end closes it.
func (l *Link) relay(caller, target net.Conn) {
	s := &connection{
		caller:   caller,
		target:   target,
		silenced: make(chan struct{}),
		closed:   make(chan struct{}),
	}
	l.mu.Lock()
	barred := l.isBarred
	l.connections[s] = true
	l.mu.Unlock()
	if barred {
		s.close()
	}
	var directions sync.WaitGroup
	directions.Go(func() { s.forward(target, caller, &l.delay, nil) })
	directions.Go(func() { s.forward(caller, target, &l.delay, &l.dropsReplies) })
	directions.Wait()
	s.close()
	l.mu.Lock()
	delete(l.connections, s)
	l.mu.Unlock()
}

// pass copies one direction. A silent strand neither passes bytes nor tells
// one end that the other has closed.
func (s *connection) forward(to, from net.Conn, delay *atomic.Int64, drops *atomic.Bool) {
	buffer := make([]byte, 16<<10)
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
		if n > 0 && (drops == nil || !drops.Load()) {
			if _, err := to.Write(buffer[:n]); err != nil {
				s.close()
				return
			}
		}
		if err == io.EOF {
			closeWrite(to)
			return
		}
		if err != nil {
			s.close()
			return
		}
	}
}

// closeWrite tells the other end that nothing more comes. A pipe has no half that could be
// closed alone.
func closeWrite(c net.Conn) {
	if tcp, is := c.(*net.TCPConn); is {
		_ = tcp.CloseWrite()
		return
	}
	_ = c.Close()
}

// mute makes the strand silent.
func (s *connection) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.silenced:
	default:
		close(s.silenced)
	}
}

// close breaks the connection towards both ends.
func (s *connection) close() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.caller.Close()
		_ = s.target.Close()
	})
}
