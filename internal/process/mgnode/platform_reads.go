package mgnode

import (
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgconfig"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// readsLogInterval is the minimum interval between two log lines about the process's reads
// of the platform.
const readsLogInterval = 10 * mgclock.Second

// readsLog is the state of the last such log line.
type readsLog struct {
	count    int
	loggedAt mgclock.Millis
}

// reportReads reports how often the process has read the platform, and for which reason: in
// gauges, and in the log at most every ten seconds if there were new reads. The platform
// counts the reads of all processes together, so only the processes can attribute them.
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
