package mgloopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
)

const (
	// guardPort is the port that a process listens on to reserve an IP.
	guardPort = 11999
	// Addr hands out ports below the range from which the kernel assigns ports to
	// listeners on port 0, so that such listeners don't take them.
	minPort = 12000
	maxPort = 30000
	// ipsPerSubnet is the number of IPs used in each /24, and ipCount that of all IPs.
	ipsPerSubnet = 250
	ipCount      = 250 * ipsPerSubnet
)

var (
	errNoFreeIP   = errors.New("loopback: no IP of 127.80.0.0/16 can be reserved: use a system that routes 127.0.0.0/8 to itself, and end programs that listen on port 11999")
	errNoFreePort = errors.New("loopback: all ports of the reserved IP are in use: stop the programs that listen there")
)

// reserved holds the IPs reserved by this process.
var reserved struct {
	sync.Mutex
	guards []net.Listener
	next   int    // index of the next IP to try
	ip     string // IP of the addresses that Addr returns
	port   int    // last port that Addr returned
}

// Reserve returns a loopback IP that no other call of Reserve returns, in this process
// or another, until this process ends.
func Reserve() (string, error) {
	reserved.Lock()
	defer reserved.Unlock()
	return reserveLocked()
}

// reserveLocked is Reserve for callers that hold the lock.
func reserveLocked() (string, error) {
	if reserved.next == 0 {
		reserved.next = os.Getpid() * ipsPerSubnet
	}
	for range ipCount {
		n := reserved.next % ipCount
		reserved.next++
		ip := fmt.Sprintf("127.80.%d.%d", n/ipsPerSubnet, 1+n%ipsPerSubnet)
		guard, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(guardPort)))
		if err != nil {
			continue
		}
		reserved.guards = append(reserved.guards, guard)
		return ip, nil
	}
	return "", errNoFreeIP
}

// Addr returns an address, on an IP reserved by this process, that isn't handed out
// again.
func Addr() (string, error) {
	reserved.Lock()
	defer reserved.Unlock()
	if reserved.ip == "" {
		ip, err := reserveLocked()
		if err != nil {
			return "", err
		}
		reserved.ip, reserved.port = ip, minPort-1
	}
	for reserved.port < maxPort {
		reserved.port++
		addr := net.JoinHostPort(reserved.ip, strconv.Itoa(reserved.port))
		// A program that listens on all addresses may occupy the port.
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, listener.Close()
	}
	return "", errNoFreePort
}
