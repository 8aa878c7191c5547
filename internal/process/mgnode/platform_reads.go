package mgnode

import (
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgconfig"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// readsSpan is the least interval between two log lines that tell of the process's
// reads of the platform.
const readsLogInterval = 10 * mgclock.Second

// readsTold is what the log was told last.
type readsLog struct {
	count    int
	loggedAt mgclock.Millis
}

// tellReads tells in gauges, and in the log every ten seconds in which there were any,
// how often the process has read the platform and for which reason. The platform
// counts all processes' reads together: only they can say whose they are.
func (n *Node) reportReads(status mgconfig.Status) {
	counts := status.Counts
	for name, value := range map[string]int{
		"rejected":        int(status.Refused),
		"reads.first":     counts.First,
		"reads.plain":     counts.Plain,
		"reads.quick":     counts.Quick,
		"reads.slow":      counts.Slow,
		"reads.table":     counts.Table,
		"reads.pages":     counts.Pages,
		"reads.failed":    counts.Failed,
		"peers.exchanges": counts.Exchanges,
		"peers.fetches":   counts.Fetches,
		"peers.listens":   counts.Listens,
		"lists":           counts.Lists,
		"zones.cordoned":  len(n.members.View().Cordoned()),
	} {
		n.metrics.Gauge(name).Update(int64(value))
	}
	now := n.clock.Now()
	if counts.Reads == n.loggedReads.count || now < n.loggedReads.loggedAt+readsLogInterval {
		return
	}
	n.loggedReads.count = counts.Reads
	n.loggedReads.loggedAt = now
	n.log.Info("reads of the platform so far", "reads", counts.Reads, "first", counts.First, "plain", counts.Plain,
		"quick", counts.Quick, "slow", counts.Slow, "table", counts.Table, "pages", counts.Pages,
		"failed", counts.Failed, "lists", counts.Lists, "exchanges", counts.Exchanges, "fetches", counts.Fetches,
		"listens", counts.Listens)
}
