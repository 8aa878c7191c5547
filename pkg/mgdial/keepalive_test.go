//go:build linux

package mgdial_test

import (
	"net"
	"syscall"
	"testing"
)

// readKeepAlive returns the idle seconds before the first keep-alive probe and
// the number of probes that may stay unanswered.
func readKeepAlive(t *testing.T, conn net.Conn) (idle, count int) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		idle, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)
		count, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, 0x6) // TCP_KEEPCNT
	})
	if err != nil {
		t.Fatal(err)
	}
	return idle, count
}
