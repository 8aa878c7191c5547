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
	tellSpan = 200 * mgclock.Millis(1)
	// tellWait bounds the hub's answer.
	tellWait = 150 * mgclock.Millis(1)
	// othersLife is how long what the hub said of the others is used.
	othersLife = 1500 * mgclock.Millis(1)
)

// others is what the other entries have sent, as the hub last said.
type others struct {
	report mgload.Report
	at     mgclock.Millis
}

// Others returns what the other entries have sent to upstreams, which is empty
// where that isn't known. Callers don't change it.
func (n *Node) Others() mgload.Report {
	known := n.others.Load()
	if known == nil || n.clock.Now() >= known.at+othersLife {
		return mgload.Report{}
	}
	return known.report
}

// basis returns the version of the list and the age of what the hub said, or -1
// where it said nothing yet.
func (n *Node) basis() (list uint64, age mgclock.Millis) {
	list = n.members.View().Version()
	known := n.others.Load()
	if known == nil {
		return list, -1
	}
	return list, n.clock.Now() - known.at
}

// tellLoads tells the hub what was sent from here, until ctx ends.
func (n *Node) tellLoads(ctx context.Context, count *mgload.Count) {
	for n.clock.Sleep(ctx, tellSpan) {
		hub := n.hubPeer()
		now := n.clock.Now()
		own := mgload.Report{
			Rows:   count.Rows(),
			Paces:  count.Paces(now),
			Faults: count.Faults(now),
		}
		if hub == nil {
			n.others.Store(&others{
				report: n.hub.Tell(now, n.settings.Name, own),
				at:     now,
			})
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, tellWait.Duration())
		reply, err := n.peer(hub.PeerAddr()).Loads(askCtx, loadRows(n.settings.Name, own))
		cancel()
		if err != nil {
			// The own count stands in meanwhile; after a second failure in a row
			// the hub is suspected and another takes its place.
			n.failed(hub.Name())
			n.metrics.Counter("loads.unanswered").Inc(1)
			continue
		}
		n.answered(hub.Name())
		n.loop.Seen(reply.GetTable(), hub.Name())
		n.loop.Take(wordOf(reply), hub.Name())
		n.others.Store(&others{
			report: reportOf(reply),
			at:     now,
		})
	}
}

func loadRows(entry string, report mgload.Report) *mgrpc.LoadRows {
	all := &mgrpc.LoadRows{
		Entry: entry,
	}
	for upstream, row := range report.Rows {
		all.Rows = append(all.Rows, &mgrpc.LoadRow{
			Upstream: upstream,
			Runs:     int32(row.Runs),
			Pending:  int32(row.Pending),
			Memory:   int32(row.Memory),
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
		if _, told := report.Rows[upstream]; told {
			continue
		}
		all.Rows = append(all.Rows, &mgrpc.LoadRow{
			Upstream: upstream,
			Pace:     report.Paces[upstream],
			Faults:   report.Faults[upstream],
		})
	}
	return all
}

func reportOf(all *mgrpc.LoadRows) mgload.Report {
	report := mgload.Report{
		Rows:   make(map[string]mgload.Row, len(all.GetRows())),
		Paces:  make(map[string]float64, len(all.GetRows())),
		Faults: map[string]float64{},
	}
	for _, row := range all.GetRows() {
		sent := mgload.Row{
			Runs:    int(row.GetRuns()),
			Pending: int(row.GetPending()),
			Memory:  int(row.GetMemory()),
		}
		if sent != (mgload.Row{}) {
			report.Rows[row.GetUpstream()] = sent
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
func wordOf(reply *mgrpc.LoadRows) mgconfig.Word {
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
	others := p.node.hub.Tell(p.node.clock.Now(), r.GetEntry(), reportOf(r))
	reply := loadRows(p.node.settings.Name, others)
	word := p.node.loop.Word()
	reply.List = word.List
	reply.Age = int64(word.Age)
	reply.Table = word.Table
	return reply, nil
}
