package mglistener

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"
)

// HasPeerClosed reports whether the peer of a connection has ended its stream or reset the connection, and
// no byte is left unread. It asks the kernel, and so doesn't wait until a reader in progress has run.
// For nil, a connection that isn't TCP, or one whose TLS session has been closed first, it reports false.
func HasPeerClosed(conn net.Conn) bool {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
	})
	return err == nil && closed
}
