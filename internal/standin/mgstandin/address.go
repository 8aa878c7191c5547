package mgstandin

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// The ports that FreeAddress hands out lie below those that the system gives
// to outgoing connections and to listeners on port 0 (from 32768 on Linux). A
// port from there can be taken between its choice and its use.
const (
	firstPort = 20000
	portSlots = 180
	slotPorts = 64
)

// errPorts is returned when every port of this process's slot is in use.
var errPorts = errors.New("standin: no free loopback port: end programs that listen on ports 20000 to 31519")

var nextPort atomic.Uint32

// FreeAddress returns a loopback address that nobody listens on now and that
// this process doesn't hand out again soon. Processes with different ids, such
// as tests that run side by side, choose from different ports.
func FreeAddress() (string, error) {
	slot := firstPort + os.Getpid()%portSlots*slotPorts
	for range slotPorts {
		port := slot + int(nextPort.Add(1)%slotPorts)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address, nil
	}
	return "", errPorts
}
