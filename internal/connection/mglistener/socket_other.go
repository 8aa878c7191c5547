//go:build !linux

package mglistener

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

func dropRequests(*net.TCPListener) error { return errors.ErrUnsupported }

// acceptSocket accepts one connection of a listening socket.
func acceptSocket(fd int) (int, error) {
	accepted, _, err := unix.Accept(fd)
	if err != nil {
		return 0, err
	}
	unix.CloseOnExec(accepted)
	return accepted, nil
}
