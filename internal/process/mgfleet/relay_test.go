package mgfleet_test

import (
	"io"
	"net"
	"sync"
)

// A relay is a link between two processes that a test can cut or silence.
type relay struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu      sync.Mutex
	barred  bool
	strands map[*strand]bool
}

// strand is one connection over a relay.
type strand struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    chan struct{} // closed once nothing more is passed on
	closed    chan struct{}
	once      sync.Once
}

// newRelay returns a relay to target, which listens on a port of its own.
func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{
		listener: l,
		target:   target,
		strands:  make(map[*strand]bool),
	}
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// addr returns the address to connect to in place of the target.
func (r *relay) addr() string { return r.listener.Addr().String() }

// cut breaks the connections that stand and returns how many; new ones work.
func (r *relay) cut() int {
	standing := r.standing()
	for _, s := range standing {
		s.close()
	}
	return len(standing)
}

// silence makes the connections that stand pass on nothing more, for good, as
// when something between the ends has lost track of them, and returns how many;
// new ones work.
func (r *relay) silence() int {
	standing := r.standing()
	for _, s := range standing {
		s.mute()
	}
	return len(standing)
}

// bar breaks the connections that stand and refuses new ones until it is
// called with false.
func (r *relay) bar(barred bool) {
	r.mu.Lock()
	r.barred = barred
	r.mu.Unlock()
	if barred {
		r.cut()
	}
}

// close ends the relay.
func (r *relay) close() {
	_ = r.listener.Close()
	r.bar(true)
	r.wg.Wait()
}

func (r *relay) standing() []*strand {
	r.mu.Lock()
	defer r.mu.Unlock()
	var standing []*strand
	for s := range r.strands {
		standing = append(standing, s)
	}
	return standing
}

func (r *relay) accept() {
	defer r.wg.Done()
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go r.connect(near)
	}
}

// connect passes one connection on until one end closes it.
func (r *relay) connect(near net.Conn) {
	defer r.wg.Done()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.Close()
		return
	}
	s := &strand{
		near:   near,
		far:    far,
		silent: make(chan struct{}),
		closed: make(chan struct{}),
	}
	r.mu.Lock()
	barred := r.barred
	r.strands[s] = true
	r.mu.Unlock()
	if barred {
		s.close()
	}
	var both sync.WaitGroup
	both.Go(func() { s.pass(far, near) })
	both.Go(func() { s.pass(near, far) })
	both.Wait()
	s.close()
	r.mu.Lock()
	delete(r.strands, s)
	r.mu.Unlock()
}

// pass copies one direction. A silent strand neither passes bytes nor tells
// one end that the other has closed.
func (s *strand) pass(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-s.silent:
			<-s.closed
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				s.close()
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			s.close()
			return
		}
	}
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
