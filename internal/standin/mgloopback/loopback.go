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
	// guardPort is the port on which a reserved IP is held.
	guardPort = 11999
	// The ports that Addr hands out are below those that the kernel gives to listeners
	// on port 0.
	minPort = 12000
	maxPort = 30000
	// hosts is the number of IPs in a /24 that are used, and ips in all.
	ipsPerSubnet = 250
	ipCount      = 250 * ipsPerSubnet
)

var (
	errNoFreeIP   = errors.New("loopback: no IP of 127.80.0.0/16 can be reserved: use a system that routes 127.0.0.0/8 to itself, and end programs that listen on port 11999")
	errNoFreePort = errors.New("loopback: all ports of the reserved IP are in use: end what listens there")
)

// reserved is what this process holds.
var reserved struct {
	sync.Mutex
	guards []net.Listener
	next   int    // number of the IP to try next
	ip     string // that of Addr
	port   int    // the last one that Addr gave
}

// Reserve returns a loopback IP that no other caller of Reserve gets, in this process or
// another, until this process ends.
func Reserve() (string, error) {
	reserved.Lock()
	defer reserved.Unlock()
	return reserveLocked()
}

// reserve is Reserve for holders of the lock.
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

// Addr returns an address on an IP of this process that nobody else is given.
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
		// A program that listens on all addresses may have the port.
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, listener.Close()
	}
	return "", errNoFreePort
}
