package mglistener

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Listener is a TCP listener with a graceful shutdown. Create it with Listen.
type Listener struct {
	tcp         *net.TCPListener
	tlsConfig   *tls.Config // nil means no TLS
	isFinishing atomic.Bool
}

// Listen opens a listener on an IP and port, with TLS unless tlsConfig is nil.
func Listen(address string, tlsConfig *tls.Config) (*Listener, error) {
	// Multipath TCP sockets don't support socket filters.
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	config.KeepAlive = -1 // see EnableKeepAlive
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{
		tcp:       l.(*net.TCPListener),
		tlsConfig: tlsConfig,
	}, nil
}

// SetReceiveBuffer limits what the kernel keeps of each further connection until it is read, in bytes; the
// kernel allows about as much again for its own structures.
func (l *Listener) SetReceiveBuffer(bytes int) error {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
	return errors.Join(err, os.NewSyscallError("setsockopt", setErr))
}

// Accept returns the next connection, a *Conn or, with TLS, a *tls.Conn over one. After
// Shutdown it returns those that the kernel has established, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.tcp.AcceptTCP()
	if l.isFinishing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		accepted, err = l.acceptQueued()
	}
	if err != nil {
		return nil, err
	}
	conn := &Conn{
		TCPConn: accepted,
	}
	if l.tlsConfig != nil {
		return tls.Server(conn, l.tlsConfig), nil
	}
	return conn, nil
}

// Shutdown makes the kernel drop connection requests, waits settleTime for handshakes in
// progress, and then lets Accept empty the queue and close the socket. It returns an
// error when connection requests can't be dropped; a connection established between the
// last Accept and the close is then reset.
func (l *Listener) Shutdown(settleTime mgclock.Millis) error {
	l.isFinishing.Store(true)
	err := dropRequests(l.tcp)
	if err != nil {
		err = fmt.Errorf("%s: connection requests can't be dropped while the listener closes: use a system with socket filters: %w", l.Addr(), err)
	}
	return errors.Join(err, l.tcp.SetDeadline(time.Now().Add(settleTime.Duration())))
}

// acceptQueued returns a connection from the accept queue without waiting. When the
// queue is empty it closes the socket and returns net.ErrClosed.
func (l *Listener) acceptQueued() (*net.TCPConn, error) {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	var conn *net.TCPConn
	var acceptErr error
	err = raw.Control(func(fd uintptr) { conn, acceptErr = acceptNonBlocking(fd) })
	if err != nil {
		return nil, err
	}
	if errors.Is(acceptErr, syscall.EAGAIN) {
		return nil, errors.Join(net.ErrClosed, l.tcp.Close())
	}
	return conn, acceptErr
}

// CloseQueued closes connections from the accept queue unread, at most limit, and returns their number.
// It takes much less time than Accept.
func (l *Listener) CloseQueued(limit int) (count int, err error) {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Control(func(fd uintptr) {
		for ; count < limit; count++ {
			accepted, err := acceptSocket(int(fd))
			if err != nil {
				return // the queue is empty, or Accept reports the failure
			}
			_ = syscall.Close(accepted) // nothing was read or sent
		}
	})
	return count, err
}

// EnableKeepAlive makes the kernel probe the peer of an accepted connection, with the intervals of package
// net. Accept doesn't, since many connections may be closed at once.
func EnableKeepAlive(conn net.Conn) {
	if accepted := ConnOf(conn); accepted != nil {
		_ = accepted.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true}) // fails only on a closed connection
	}
}

// acceptNonBlocking accepts one connection from a non-blocking listening socket.
func acceptNonBlocking(fd uintptr) (*net.TCPConn, error) {
	accepted, err := acceptSocket(int(fd))
	for errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
		accepted, err = acceptSocket(int(fd))
	}
	if err != nil {
		return nil, os.NewSyscallError("accept", err)
	}
	file := os.NewFile(uintptr(accepted), "accepted")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// Close closes the socket at once.
func (l *Listener) Close() error {
	err := l.tcp.Close()
	if l.isFinishing.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Addr returns the address and port.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }
