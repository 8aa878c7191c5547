package mgnode

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglag"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// measureWaits measures how long events wait for this process, until ctx ends.
func (n *Node) measureWaits(ctx context.Context) error {
	meter, err := mglag.New(n.clock, n.observeWait)
	if err != nil {
		return err
	}
	n.waits.Store(meter)
	n.admin.AddSection("waits", func() any { return meter.State() })
	context.AfterFunc(ctx, func() { _ = meter.Close() }) // fails only on a closed meter
	return nil
}

// observeWait records the wait of an event.
func (n *Node) observeWait(now, wait mgclock.Millis) {
	n.gate.Observe(now, wait)
	n.metrics.Histogram("events.wait").Update(int64(wait))
}

// recentWait returns the longest recent wait of an event, and starts a measurement.
func (n *Node) recentWait() mgclock.Millis {
	meter := n.waits.Load()
	return max(meter.Probe(), meter.Recent())
}

// confirmationWaits is the number of events that a confirmation of the list waits for in the processes that
// it passes: the platform's response at the reader, and the reports to the hub and to this process.
const confirmationWaits = 3

// isListStale reports whether the list has been unconfirmed for longer than the waits of events in this
// process explain.
func (n *Node) isListStale() bool {
	return n.configLoop.IsListStale(confirmationWaits * n.recentWait())
}

// admitsConnection reports whether the processor bears one more connection.
func (n *Node) admitsConnection() bool {
	now := n.clock.Now()
	if n.gate.Admits(now, n.waits.Load().Probe()) {
		return true
	}
	n.collector.ReportOverload(now)
	return false
}

// isOverloaded reports whether events have waited for so long that new connections aren't admitted.
func (n *Node) isOverloaded() bool {
	return n.gate.IsClosed(n.clock.Now(), n.waits.Load().Probe())
}
