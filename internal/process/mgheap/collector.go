package mgheap

import (
	"runtime/debug"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// relaxedPercent is the growth of the heap in percent that triggers a collection in overload.
	relaxedPercent = 200
	// relaxedTime is how long an overload goes on to count after it was last reported.
	relaxedTime = 10 * mgclock.Second
	// heapShare is the part of the VM's memory from which on collections are as frequent as needed, also
	// without an overload.
	heapShare = 0.6
)

// A Collector sets how often garbage is collected. The zero Collector, of a process whose memory isn't
// known, changes nothing. It is safe for concurrent use.
type Collector struct {
	limit      int64 // bytes; 0 if unknown
	setPercent func(percent int) (before int)
	setLimit   func(limit int64) (before int64)

	mu          sync.Mutex
	isRelaxed   bool
	calmPercent int // in force before
	reportedAt  mgclock.Millis
}

// New returns a collector for a process on a VM with a memory in bytes, 0 if that is unknown.
func New(memory int64) *Collector {
	return &Collector{
		limit:      int64(heapShare * float64(memory)),
		setPercent: debug.SetGCPercent,
		setLimit:   debug.SetMemoryLimit,
	}
}

// LimitMemory makes collections as frequent as needed to keep the process within a part of the VM's memory.
func (c *Collector) LimitMemory() {
	if c.limit > 0 {
		c.setLimit(c.limit)
	}
}

// ReportOverload makes collections rarer for some time.
func (c *Collector) ReportOverload(now mgclock.Millis) {
	if c.limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportedAt = now
	if c.isRelaxed {
		return
	}
	c.isRelaxed = true
	c.setLimit(c.limit)
	c.calmPercent = c.setPercent(relaxedPercent)
}

// Tick makes collections as frequent as before once the overload is over. It is called about once a second.
func (c *Collector) Tick(now mgclock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isRelaxed && now >= c.reportedAt+relaxedTime {
		c.isRelaxed = false
		c.setPercent(c.calmPercent)
	}
}
