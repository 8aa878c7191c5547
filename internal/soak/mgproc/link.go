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
	listener net.Listener
	target   string
	wg       sync.WaitGroup
	delay    atomic.Int64 // ms, of each piece that is passed on
	lost     atomic.Bool  // what the target sends is dropped

	mu      sync.Mutex
	barred  bool
	strands map[*strand]bool
}

// strand is one connection over a Link.
type strand struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    chan struct{} // closed once nothing more is passed on
	closed    chan struct{}
	once      sync.Once
}

// NewLink returns a link to target, which listens on a port of its own.
func NewLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Link{
		listener: l,
		target:   target,
		strands:  make(map[*strand]bool),
	}
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// Addr returns the address to connect to in place of the target.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Dial connects to the target over the link. A target that refuses connections refuses
// this one.
func (l *Link) Dial(ctx context.Context) (net.Conn, error) {
	var dialer net.Dialer
	far, err := dialer.DialContext(ctx, "tcp", l.target)
	if err != nil {
		return nil, err
	}
	caller, near := net.Pipe()
	l.wg.Go(func() { l.carry(near, far) })
	return caller, nil
}

// Cut breaks the connections that stand and returns how many; new ones work.
func (l *Link) Cut() int {
	standing := l.standing()
	for _, s := range standing {
		s.close()
	}
	return len(standing)
}

// Silence makes the connections that stand pass on nothing more, for good, as
// when something between the ends has lost track of them, and returns how many;
// new ones work.
func (l *Link) Silence() int {
	standing := l.standing()
	for _, s := range standing {
		s.mute()
	}
	return len(standing)
}

// Bar breaks the connections that stand and refuses new ones until it is
// called with false.
func (l *Link) Bar(barred bool) {
	l.mu.Lock()
	l.barred = barred
	l.mu.Unlock()
	if barred {
		l.Cut()
	}
}

// Delay holds each piece that is passed on up for a while.
func (l *Link) Delay(span mgclock.Millis) { l.delay.Store(int64(span)) }

// Lose drops what the target sends, until it is called with false: a link that is
// cut one way. What was dropped does not come, so that the connections that
// stand are broken at the end.
func (l *Link) Lose(lost bool) {
	if l.lost.Swap(lost) && !lost {
		l.Cut()
	}
}

// Close ends the link.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Bar(true)
	l.wg.Wait()
}

func (l *Link) standing() []*strand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var standing []*strand
	for s := range l.strands {
		standing = append(standing, s)
	}
	return standing
}

func (l *Link) accept() {
	defer l.wg.Done()
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wg.Add(1)
		go l.connect(near)
	}
}

// connect connects an accepted connection to the target.
func (l *Link) connect(near net.Conn) {
	defer l.wg.Done()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	l.carry(near, far)
}

// carry passes one connection on until one end closes it.
func (l *Link) carry(near, far net.Conn) {
	s := &strand{
		near:   near,
		far:    far,
		silent: make(chan struct{}),
		closed: make(chan struct{}),
	}
	l.mu.Lock()
	barred := l.barred
	l.strands[s] = true
	l.mu.Unlock()
	if barred {
		s.close()
	}
	var both sync.WaitGroup
	both.Go(func() { s.pass(far, near, &l.delay, nil) })
	both.Go(func() { s.pass(near, far, &l.delay, &l.lost) })
	both.Wait()
	s.close()
	l.mu.Lock()
	delete(l.strands, s)
	l.mu.Unlock()
}

// pass copies one direction. A silent strand neither passes bytes nor tells
// one end that the other has closed.
func (s *strand) pass(to, from net.Conn, delay *atomic.Int64, lost *atomic.Bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-s.silent:
			<-s.closed
			return
		default:
		}
		if span := mgclock.Millis(delay.Load()); span > 0 {
			mgclock.Clock{}.Sleep(context.Background(), span)
		}
		if n > 0 && (lost == nil || !lost.Load()) {
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
func (s *strand) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.silent:
	default:
		close(s.silent)
	}
}

// close breaks the connection towards both ends.
func (s *strand) close() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.near.Close()
		_ = s.far.Close()
	})
}
