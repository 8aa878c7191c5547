package mgdial

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state, in TCP_INFO, of a connection that neither end has ended.
const tcpEstablished = 1

// endedFor returns how long ago, at most, the peer of a connection ended it, or 0 if it has not.
func endedFor(conn net.Conn) (time.Duration, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err = errors.Join(err, infoErr); err != nil {
		return 0, err
	}
	if info.State == tcpEstablished {
		return 0, nil
	}
	// The peer ended the connection after its last data.
	return time.Duration(info.Last_data_recv) * time.Millisecond, nil
}
