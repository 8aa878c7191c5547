package mglistener

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// Flags of the TCP header and their offset, RFC 9293, section 3.1.
const (
	flagsOffset = 13
	flagSYN     = 0x02
	flagACK     = 0x10
)

// dropRequests attaches a socket filter that drops the segments that open a connection,
// SYN without ACK. Other segments pass, so that handshakes in progress are completed.
func dropRequests(l *net.TCPListener) error {
	const allBytes = 1<<32 - 1 // bytes of a segment to keep: all
	isRequest := instruction(unix.BPF_JMP|unix.BPF_JEQ|unix.BPF_K, flagSYN)
	isRequest.Jf = 1
	program := []unix.SockFilter{
		instruction(unix.BPF_LD|unix.BPF_B|unix.BPF_ABS, flagsOffset),
		instruction(unix.BPF_ALU|unix.BPF_AND|unix.BPF_K, flagSYN|flagACK),
		isRequest,
		instruction(unix.BPF_RET|unix.BPF_K, 0),
		instruction(unix.BPF_RET|unix.BPF_K, allBytes),
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len:    uint16(len(program)),
			Filter: &program[0],
		})
	})
	if err != nil {
		return err
	}
	return os.NewSyscallError("setsockopt", setErr)
}

// instruction returns an instruction of a filter without jump offsets.
func instruction(code uint16, k uint32) unix.SockFilter {
	return unix.SockFilter{
		Code: code,
		K:    k,
	}
}

// acceptSocket accepts one connection of a listening socket.
func acceptSocket(fd int) (int, error) {
	accepted, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	return accepted, err
}
