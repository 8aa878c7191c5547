package mgnode

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgspeed"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// speedsPath is where entries send the hub what they measured of engines. Request
// (speedsRequest) and response (mgspeed.Report) are JSON, compressed by gzip. A process that
// doesn't learn speeds answers 404, one of a release without it 503, as on any unknown path.
const speedsPath = "/speeds"

const (
	// minSpeedsInterval is the minimum interval between two reports of measurements.
	minSpeedsInterval = mgclock.Second
	// speedsIntervalPerRow is the interval for each row sent or received, in ms: a compressed
	// row has some 30 bytes, so that reports take 1.5 KB/s at most.
	speedsIntervalPerRow = 20.0
	// maxSpeedsInterval leaves the hub with the latest sums until the next report; see
	// mgspeed.Hub.
	maxSpeedsInterval = 8 * mgclock.Second
	// speedsTimeout limits the wait for the hub's response.
	speedsTimeout = 300 * mgclock.Millis(1)
	// speedsTTL is how long the hub's response is used. After that, an entry uses its own
	// measurements.
	speedsTTL = 10 * mgclock.Second
	// hubStartDelay is how long a new hub uses the speeds that it knew before: by then most
	// entries have reported to it.
	hubStartDelay = 2 * mgclock.Second
)

// speedsCall is the call for reports. A message has up to some 15,000 engines.
var speedsCall = peerCall{
	path:     speedsPath,
	purpose:  "reporting measurements of engines",
	maxBytes: 4 << 20,
}

// engineSpeeds is what a process measures of engines, and knows of their speeds. The zero
// value is switched off.
type engineSpeeds struct {
	isOn    atomic.Bool
	learner mgspeed.Learner // of this entry's streams
	hub     mgspeed.Hub     // what the cell's entries report, while this process is the hub
	known   atomic.Pointer[mgspeed.Speeds]
	// The following are used by updateSpeeds only.
	receivedAt mgclock.Millis // when known was received from the hub or computed as the hub
	hubSince   mgclock.Millis // since when this process is the hub; 0 if it isn't
	isFailing  bool           // the last report had no response
}

// speedsRequest reports an entry's measurements.
type speedsRequest struct {
	Entry string         `json:"entry"`
	Sums  []mgspeed.Sums `json:"sums"`
}

// exchangeSpeeds reports this entry's measurements to the hub until ctx ends, and stores the
// speeds that the hub returns.
func (n *Node) exchangeSpeeds(ctx context.Context) {
	interval := minSpeedsInterval
	for n.clock.Sleep(ctx, interval) {
		interval = speedsInterval(n.updateSpeeds(ctx))
	}
}

// speedsInterval returns the interval to the next report after one with some rows sent and
// received.
func speedsInterval(rows int) mgclock.Millis {
	return min(max(mgclock.Millis(speedsIntervalPerRow*float64(rows)), minSpeedsInterval), maxSpeedsInterval)
}

// updateSpeeds brings the known speeds up to date. It returns the number of rows sent and
// received.
func (n *Node) updateSpeeds(ctx context.Context) int {
	now := n.clock.Now()
	own := n.speeds.learner.Sums(now)
	hub := n.hubPeer()
	if hub == nil {
		n.speeds.hub.Store(now, n.settings.Name, own)
		if n.speeds.hubSince == 0 {
			n.speeds.hubSince = now
		}
		if n.speeds.known.Load() == nil || now >= n.speeds.hubSince+hubStartDelay {
			n.adoptSpeeds(now, n.speeds.hub.Speeds(now), "this process is the hub")
		}
		return 0
	}
	n.speeds.hubSince = 0
	report, err := n.sendSums(ctx, hub, own)
	if err == nil {
		n.speeds.isFailing = false
		n.adoptSpeeds(now, mgspeed.NewSpeeds(report), hub.Name())
		return len(own) + len(report.Speeds)
	}
	if ctx.Err() != nil {
		return 0
	}
	n.metrics.Counter("speeds.unanswered").Inc(1)
	if !n.speeds.isFailing {
		n.log.Info("a report of measurements of engines failed, the next one has them as well", "hub", hub.Name(), "why", err.Error())
	}
	n.speeds.isFailing = true
	if errors.Is(err, errNoSpeeds) || now >= n.speeds.receivedAt+speedsTTL {
		receivedAt := n.speeds.receivedAt
		n.adoptSpeeds(now, mgspeed.Estimate(own), "own measurements")
		n.speeds.receivedAt = receivedAt
	}
	return len(own)
}

// adoptSpeeds uses speeds from now on, and logs which engines deviate as of now.
func (n *Node) adoptSpeeds(now mgclock.Millis, speeds *mgspeed.Speeds, from string) {
	n.speeds.receivedAt = now
	n.speeds.learner.Adopt(speeds)
	previous := n.speeds.known.Swap(speeds)
	n.logDeviations(previous, speeds, from)
	known := 0
	for _, r := range speeds.Report().References {
		known += r.Known
	}
	n.metrics.Gauge("speeds.known").Update(int64(known))
	n.metrics.Gauge("speeds.deviating").Update(int64(len(speeds.Report().Speeds)))
	n.metrics.Gauge("speeds.slowest").Update(int64(math.Round(100 * speeds.Slowest())))
	n.metrics.Gauge("speeds.samples").Update(int64(n.speeds.learner.Count()))
}

// logDeviations logs engines that have begun or ceased to deviate.
func (n *Node) logDeviations(previous, current *mgspeed.Speeds, from string) {
	before := map[string]mgspeed.Speed{}
	for _, row := range previous.Report().Speeds {
		before[row.Upstream] = row
	}
	for _, row := range current.Report().Speeds {
		if old, known := before[row.Upstream]; !known || old.Start != row.Start {
			n.log.Info("an engine is not as fast as the others", mglog.Upstream, row.Upstream, mglog.Service, row.Service,
				"level", row.Level, "slope", row.Slope, "read", row.Read, "from", from)
		}
		delete(before, row.Upstream)
	}
	for _, row := range before {
		n.log.Info("an engine is as fast as the others, or isn't measured any more", mglog.Upstream, row.Upstream,
			mglog.Service, row.Service, "from", from)
	}
}

// errNoSpeeds is the error for a hub that doesn't learn speeds.
var errNoSpeeds = errors.New("mgnode: the hub takes no measurements of engines: let all entries run the same release and have the setting speeds on")

// sendSums reports measurements to the hub.
func (n *Node) sendSums(ctx context.Context, hub *mgmember.Member, sums []mgspeed.Sums) (mgspeed.Report, error) {
	var report mgspeed.Report
	ctx, cancel := context.WithTimeout(ctx, speedsTimeout.Duration())
	defer cancel()
	err := n.post(ctx, hub.PeerAddr(), speedsCall, speedsRequest{
		Entry: n.settings.Name,
		Sums:  sums,
	}, &report)
	if isUnsupported(err) {
		err = fmt.Errorf("%w: %w", errNoSpeeds, err)
	}
	return report, err
}

// serveSpeeds stores the measurements of an entry that regards this process as its hub, and
// responds with the known speeds.
func (n *Node) serveSpeeds(w http.ResponseWriter, r *http.Request) {
	if !n.speeds.isOn.Load() {
		http.NotFound(w, r)
		return
	}
	var request speedsRequest
	speedsCall.serve(w, r, &request, func() any {
		n.speeds.hub.Store(n.clock.Now(), request.Entry, request.Sums)
		return n.speeds.known.Load().Report()
	})
}

// speedState returns the dump of what is known of engines' speeds.
func (n *Node) speedState() any {
	return speedDump{
		On:      n.speeds.isOn.Load(),
		Samples: n.speeds.learner.Count(),
		Known:   n.speeds.known.Load().Report(),
	}
}

type speedDump struct {
	On      bool           `json:"on"`
	Samples uint64         `json:"samples"` // measured by this process
	Known   mgspeed.Report `json:"known"`
}
