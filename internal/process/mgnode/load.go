package mgnode

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgconfig"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// tellSpan is the interval at which an entry tells the hub what it has sent,
	// in which a dozen entries place a few generations.
	loadReportInterval = 200 * mgclock.Millis(1)
	// tellWait bounds the hub's answer.
	loadReportTimeout = 150 * mgclock.Millis(1)
	// othersLife is how long what the hub said of the others is used.
	otherLoadsTTL = 1500 * mgclock.Millis(1)
)

// others is what the other entries have sent, as the hub last said.
type otherLoads struct {
	report     mgload.Report
	receivedAt mgclock.Millis
}

// Others returns what the other entries have sent to upstreams, which is empty
// where that isn't known. Callers don't change it.
func (n *Node) OtherLoads() mgload.Report {
	latest := n.otherLoads.Load()
	if latest == nil || n.clock.Now() >= latest.receivedAt+otherLoadsTTL {
		return mgload.Report{}
	}
	return latest.report
}

// basis returns the version of the list and the age of what the hub said, or -1
// where it said nothing yet.
func (n *Node) loadBasis() (list uint64, age mgclock.Millis) {
	list = n.members.View().Version()
	latest := n.otherLoads.Load()
	if latest == nil {
		return list, -1
	}
	return list, n.clock.Now() - latest.receivedAt
}

// tellLoads tells the hub what was sent from here, until ctx ends.
func (n *Node) reportLoads(ctx context.Context, count *mgload.Count) {
	for n.clock.Sleep(ctx, loadReportInterval) {
		hub := n.hubPeer()
		now := n.clock.Now()
		local := mgload.Report{
			Rows:   count.Rows(),
			Paces:  count.Paces(now),
			Faults: count.Faults(now),
		}
		if hub == nil {
			n.otherLoads.Store(&otherLoads{
				report:     n.hub.Tell(now, n.settings.Name, local),
				receivedAt: now,
			})
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, loadReportTimeout.Duration())
		reply, err := n.peerClient(hub.PeerAddr()).Loads(callCtx, encodeLoads(n.settings.Name, local))
		cancel()
		if err != nil {
			// The own count stands in meanwhile; after a second failure in a row
			// the hub is suspected and another takes its place.
			n.peerFailed(hub.Name())
			n.metrics.Counter("loads.unanswered").Inc(1)
			continue
		}
		n.peerAnswered(hub.Name())
		n.loop.Seen(reply.GetTable(), hub.Name())
		n.loop.Take(announcementOf(reply), hub.Name())
		n.otherLoads.Store(&otherLoads{
			report:     decodeLoads(reply),
			receivedAt: now,
		})
	}
}

func encodeLoads(entry string, report mgload.Report) *mgrpc.LoadRows {
	message := &mgrpc.LoadRows{
		Entry: entry,
	}
	for upstream, load := range report.Rows {
		message.Rows = append(message.Rows, &mgrpc.LoadRow{
			Upstream: upstream,
			Runs:     int32(load.Runs),
			Pending:  int32(load.Pending),
			Memory:   int32(load.Memory),
			Pace:     report.Paces[upstream],
			Faults:   report.Faults[upstream],
		})
	}
	// What is known of upstreams without requests from here.
	idle := map[string]bool{}
	for upstream := range report.Paces {
		idle[upstream] = true
	}
	for upstream := range report.Faults {
		idle[upstream] = true
	}
	for upstream := range idle {
		if _, hasRow := report.Rows[upstream]; hasRow {
			continue
		}
		message.Rows = append(message.Rows, &mgrpc.LoadRow{
			Upstream: upstream,
			Pace:     report.Paces[upstream],
			Faults:   report.Faults[upstream],
		})
	}
	return message
}

func decodeLoads(message *mgrpc.LoadRows) mgload.Report {
	report := mgload.Report{
		Rows:   make(map[string]mgload.Row, len(message.GetRows())),
		Paces:  make(map[string]float64, len(message.GetRows())),
		Faults: map[string]float64{},
	}
	for _, row := range message.GetRows() {
		load := mgload.Row{
			Runs:    int(row.GetRuns()),
			Pending: int(row.GetPending()),
			Memory:  int(row.GetMemory()),
		}
		if load != (mgload.Row{}) {
			report.Rows[row.GetUpstream()] = load
		}
		if row.GetFaults() > 0 {
			report.Faults[row.GetUpstream()] = row.GetFaults()
		}
		if row.GetPace() > 0 {
			report.Paces[row.GetUpstream()] = row.GetPace()
		}
	}
	return report
}

// wordOf returns what the hub says of the platform.
func announcementOf(reply *mgrpc.LoadRows) mgconfig.Word {
	return mgconfig.Word{
		List:  reply.GetList(),
		Age:   mgclock.Millis(reply.GetAge()),
		Table: reply.GetTable(),
		// That is told to those that listen only.
		TableAge: -1,
	}
}

// Loads answers an entry that takes this one for the hub.
func (p peerServer) Loads(_ context.Context, r *mgrpc.LoadRows) (*mgrpc.LoadRows, error) {
	others := p.node.hub.Tell(p.node.clock.Now(), r.GetEntry(), decodeLoads(r))
	reply := encodeLoads(p.node.settings.Name, others)
	announcement := p.node.loop.Word()
	reply.List = announcement.List
	reply.Age = int64(announcement.Age)
	reply.Table = announcement.Table
	return reply, nil
}
