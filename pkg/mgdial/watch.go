package mgdial

import (
	"context"
	"fmt"
	"net"
	"syscall"
)

// A ProcessWatch holds an idle connection to a server, which the kernel ends with the server's
// process. While it is open, the process that accepted it runs, whatever else listens at the address
// by then.
type ProcessWatch struct {
	conn *net.TCPConn
}

// WatchProcess opens a connection to an address and sends nothing on it. Close it.
func WatchProcess(ctx context.Context, addr string) (*ProcessWatch, error) {
	dialer := net.Dialer{
		Timeout: regionalConnectTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%s: can't be watched: try again: %w", addr, err)
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
