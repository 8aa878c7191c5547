package mgdial

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// The states of a connection in TCP_INFO (tcp_states.h).
const (
	tcpEstablished = 1 // neither end has ended it
	tcpClose       = 7 // both have, or it was reset
)

// tcpInfo returns what the kernel knows of a connection.
func tcpInfo(conn net.Conn) (*unix.TCPInfo, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, errors.Join(err, infoErr)
}

// endedFor returns how long ago, at most, the peer of a connection ended it, or 0 if it has not.
func endedFor(conn net.Conn) (time.Duration, error) {
	info, err := tcpInfo(conn)
	if err != nil {
		return 0, err
	}
	if info.State == tcpEstablished {
		return 0, nil
	}
	// The peer ended the connection after its last data.
	return time.Duration(info.Last_data_recv) * time.Millisecond, nil
}

// isEnded reports whether a connection was reset, or ended at both ends, by this process too.
func isEnded(conn net.Conn) bool {
	info, err := tcpInfo(conn)
	if err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	return info.State == tcpClose
}
