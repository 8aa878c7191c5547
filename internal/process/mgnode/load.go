package mgnode

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgconfig"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// loadReportInterval is the interval at which an entry reports its load to the
	// hub. During an interval a dozen entries together send upstreams a few requests for
	// generations, which the hub's sums don't include yet.
	loadReportInterval = 200 * mgclock.Millis(1)
	// loadReportTimeout limits the wait for the hub's response.
	loadReportTimeout = 150 * mgclock.Millis(1)
	// otherLoadsTTL is how long the hub's report of the other entries' load is used.
	otherLoadsTTL = 1500 * mgclock.Millis(1)
)

// otherLoads is the load of the other entries, as the hub last reported it.
type otherLoads struct {
	report     mgload.Report
	receivedAt mgclock.Millis
}

// OtherLoads returns the load that the other entries have put on upstreams, or an
// empty report if that isn't known. Callers must not change it.
func (n *Node) OtherLoads() mgload.Report {
	latest := n.otherLoads.Load()
	if latest == nil || n.clock.Now() >= latest.receivedAt+otherLoadsTTL {
		return mgload.Report{}
	}
	return latest.report
}

// listVersionAndReportAge returns the version of the list of VMs and the age of the hub's last
// report, or -1 if there has been none.
func (n *Node) listVersionAndReportAge() (list uint64, age mgclock.Millis) {
	list = n.members.View().Version()
	latest := n.otherLoads.Load()
	if latest == nil {
		return list, -1
	}
	return list, n.clock.Now() - latest.receivedAt
}

// reportLoads reports this entry's load to the hub until ctx ends, and stores what
// the hub returns of the others. See mgload.Report for the units: paces are in ms, faults
// are weights.
func (n *Node) reportLoads(ctx context.Context, tracker *mgload.Tracker) {
	for n.clock.Sleep(ctx, loadReportInterval) {
		hub := n.hubPeer()
		now := n.clock.Now()
		local := mgload.Report{
			Loads:  tracker.Loads(),
			Paces:  tracker.Paces(now),
			Faults: tracker.Faults(now),
		}
		if hub == nil {
			n.otherLoads.Store(&otherLoads{
				report:     n.entryLoads.Exchange(now, n.settings.Name, local),
				receivedAt: now,
			})
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, loadReportTimeout.Duration())
		reply, err := n.peerClient(hub.PeerAddr()).Loads(callCtx, encodeLoads(n.settings.Name, local))
		cancel()
		if err != nil && n.recordHandover(hub, err) {
			continue
		}
		if err != nil {
			// Until there is a hub again this entry goes by its own counts. After a
			// second failure in a row the hub is suspected and another process
			// becomes the hub.
			n.peerFailed(hub.Name())
			n.metrics.Counter("loads.unanswered").Inc(1)
			continue
		}
		n.peerAnswered(hub.Name())
		n.configLoop.ObserveVersion(reply.GetTable(), hub.Name())
		n.configLoop.ApplyReport(versionReportOf(reply), hub.Name())
		n.otherLoads.Store(&otherLoads{
			report:     decodeLoads(reply),
			receivedAt: now,
		})
	}
}

// encodeLoads encodes an entry's report. Pending counts prompt tokens of requests without a
// first event.
func encodeLoads(entry string, report mgload.Report) *mgrpc.LoadRows {
	message := &mgrpc.LoadRows{
		Entry: entry,
	}
	for upstream, load := range report.Loads {
		message.Rows = append(message.Rows, &mgrpc.LoadRow{
			Upstream: upstream,
			Runs:     int32(load.Runs),
			Pending:  int32(load.Pending),
			Memory:   int32(load.Memory),
			Pace:     report.Paces[upstream],
			Faults:   report.Faults[upstream],
		})
	}
	// Upstreams that have no requests from here can still have a pace or faults.
	upstreamsWithState := map[string]bool{}
	for upstream := range report.Paces {
		upstreamsWithState[upstream] = true
	}
	for upstream := range report.Faults {
		upstreamsWithState[upstream] = true
	}
	for upstream := range upstreamsWithState {
		if _, hasRow := report.Loads[upstream]; hasRow {
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
		Loads:  make(map[string]mgload.Load, len(message.GetRows())),
		Paces:  make(map[string]float64, len(message.GetRows())),
		Faults: map[string]float64{},
	}
	for _, row := range message.GetRows() {
		load := mgload.Load{
			Runs:    int(row.GetRuns()),
			Pending: int(row.GetPending()),
			Memory:  int(row.GetMemory()),
		}
		if load != (mgload.Load{}) {
			report.Loads[row.GetUpstream()] = load
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

// versionReportOf returns the versions that the hub has read from the platform.
func versionReportOf(reply *mgrpc.LoadRows) mgconfig.VersionReport {
	return mgconfig.VersionReport{
		List:  reply.GetList(),
		Age:   mgclock.Millis(reply.GetAge()),
		Table: reply.GetTable(),
		// The table's age is sent in responses to long polls only.
		TableAge: -1,
	}
}

// Loads records the load of an entry that regards this process as the hub, and returns
// the load of the others.
func (p peerServer) Loads(_ context.Context, r *mgrpc.LoadRows) (*mgrpc.LoadRows, error) {
	if p.node.hasHandedOver() {
		return nil, errHandedOver
	}
	others := p.node.entryLoads.Exchange(p.node.clock.Now(), r.GetEntry(), decodeLoads(r))
	reply := encodeLoads(p.node.settings.Name, others)
	versions := p.node.configLoop.Report()
	reply.List = versions.List
	reply.Age = int64(versions.Age)
	reply.Table = versions.Table
	return reply, nil
}
