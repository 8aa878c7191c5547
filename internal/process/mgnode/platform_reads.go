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

// reportReads reports how often the process has read the platform, and for which reason (see
// mgconfig.Counts): in gauges, and in the log at most every ten seconds if there were new
// reads. The platform counts the reads of all processes together, so only the processes can attribute them.
// Quick watches are those of the list on behalf of other processes, slow ones those for this
// process alone; plain reads are made in place of watches.
func (n *Node) reportReads(status mgconfig.Status) {
	counts := status.Counts
	for name, value := range map[string]int{
		"rejected":        int(status.RejectedVersion),
		"reads.first":     counts.FirstReads,
		"reads.plain":     counts.PlainReads,
		"reads.quick":     counts.QuickWatches,
		"reads.slow":      counts.SlowWatches,
		"reads.table":     counts.TableWatches,
		"reads.pages":     counts.PageReads,
		"reads.failed":    counts.FailedReads,
		"peers.exchanges": counts.Exchanges,
		"peers.fetches":   counts.Fetches,
		"peers.listens":   counts.LongPolls,
		"lists":           counts.ListAdoptions,
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
	n.log.Info("reads of the platform so far", "reads", counts.Reads, "first", counts.FirstReads, "plain", counts.PlainReads,
		"quick", counts.QuickWatches, "slow", counts.SlowWatches, "table", counts.TableWatches, "pages", counts.PageReads,
		"failed", counts.FailedReads, "lists", counts.ListAdoptions, "exchanges", counts.Exchanges, "fetches", counts.Fetches,
		"listens", counts.LongPolls)
}
