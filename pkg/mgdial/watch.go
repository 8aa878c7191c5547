package mgdial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// A ProcessWatch holds an idle connection to a server, which the kernel ends with the server's
// process. While it is open, the process that accepted it runs, whatever else listens at the address
// by then.
type ProcessWatch struct {
	conn *net.TCPConn
}

// minRestartTime is less than a process takes to end and another one to start and to listen at its
// address.
const minRestartTime = 5 * time.Millisecond

// ErrConnectionEnded means that a connection has ended, so that another process may listen at its server's
// address by now.
var ErrConnectionEnded = errors.New("the connection had ended before: ask which process listens there")

// WatchProcess opens a connection to the server that has answered on another one, and sends nothing
// on it. Close it. If the other connection has ended before, WatchProcess fails with
// ErrConnectionEnded. A nil connection isn't compared.
func WatchProcess(ctx context.Context, addr string, answered net.Conn) (*ProcessWatch, error) {
	dialer := net.Dialer{
		Timeout: regionalConnectTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%s: can't be watched: try again: %w", addr, err)
	}
	ended, err := endedFor(answered)
	// Another error means that the platform can't tell.
	if errors.Is(err, net.ErrClosed) || err == nil && ended >= minRestartTime {
		_ = conn.Close() // nothing was sent
		return nil, fmt.Errorf("%s: can't be watched, up to %v after: %w", addr, ended, ErrConnectionEnded)
	}
	return &ProcessWatch{
		conn: conn.(*net.TCPConn),
	}, nil
}

// IsOpen reports whether the server has not ended the connection. A server may also end it because
// it is idle.
func (w *ProcessWatch) IsOpen() bool {
	raw, err := w.conn.SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = raw.Control(func(fd uintptr) {
		_, readErr := syscall.Read(int(fd), make([]byte, 1)) // doesn't block, see net.TCPConn
		isOpen = readErr == syscall.EAGAIN || readErr == syscall.EINTR
	})
	return err == nil && isOpen
}

// Close closes the connection.
func (w *ProcessWatch) Close() { _ = w.conn.Close() } // nothing was sent
