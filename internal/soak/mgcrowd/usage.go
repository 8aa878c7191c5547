package mgcrowd

import (
	"context"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process takes at a moment, or at most.
type Usage struct {
	memory      int64 // bytes of resident memory without files, and in receive queues
	descriptors int
}

// Memory returns the bytes of resident memory that are not of files, and those in receive queues.
func (u Usage) Memory() int64 { return u.memory }

// Descriptors returns the number of open descriptors.
func (u Usage) Descriptors() int { return u.descriptors }

// String returns the usage in megabytes and descriptors.
func (u Usage) String() string {
	return fmt.Sprintf("%.1f MB, %d descriptors", float64(u.memory)/1e6, u.descriptors)
}

// measureInterval is the interval of measurements.
const measureInterval = 10 * time.Millisecond

// Measure measures a process until ctx ends, and returns its greatest usage. It calls exceeded, once, when
// the memory exceeds limit. The receive queues are those of the connections to an IP address.
func Measure(ctx context.Context, pid int, ip string, limit int64, exceeded func()) Usage {
	var most Usage
	for sleep(ctx, measureInterval) {
		now := measure(pid, ip)
		if now.memory > limit && most.memory <= limit {
			exceeded()
		}
		most.memory = max(most.memory, now.memory)
		most.descriptors = max(most.descriptors, now.descriptors)
	}
	return most
}

// measure returns what a process takes now, 0 for what can't be read.
func measure(pid int, ip string) Usage {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // none of a process that has ended
	return Usage{
		memory:      anonymousBytes(pid) + queuedBytes(ip),
		descriptors: len(files),
	}
}

// anonymousBytes returns the resident memory of a process that is not of files.
func anonymousBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return 1024 * kilobytes
		}
	}
	return 0
}

// queuedBytes returns the bytes in the receive queues of established connections whose local address is an
// IPv4 address.
func queuedBytes(ip string) int64 {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local := hexAddress(ip)
	var total int64
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == stateListen {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(received, 16, 64)
		total += bytes
	}
	return total
}

// stateListen is the state of a listening socket, whose queue counts connections.
const stateListen = "0A"

// hexAddress returns an IPv4 address as in /proc/net/tcp, in the byte order of little-endian machines.
func hexAddress(ip string) string {
	four := net.ParseIP(ip).To4()
	if four == nil {
		return "-"
	}
	return strings.ToUpper(hex.EncodeToString([]byte{four[3], four[2], four[1], four[0]})) + ":"
}
