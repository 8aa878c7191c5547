package mgnode

import (
	"context"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgevent"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgconfig"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// handleEvents registers the handlers of control events. Handlers run one after
// another, some time after the event. What must be done before the next request
// proceeds, such as to drop leases after a pause, is done where the event arises
// and not here.
func (n *Node) handleEvents() {
	n.bus.Handle(mgevent.TableAdopted, func(e mgevent.Event) {
		version, _ := strconv.ParseInt(e.Subject, 10, 64)
		n.metrics.Gauge("version").Update(version)
	})
	n.bus.Handle(mgevent.Paused, func(e mgevent.Event) {
		// Any pooled connection may have died while the process was paused.
		if pool, ok := n.calls.(interface{ CloseIdleConnections() }); ok {
			pool.CloseIdleConnections()
		}
		n.metrics.Counter("pauses").Inc(1)
		n.log.Info("the process was paused; leases and pooled connections are dropped", "ms", e.Detail)
	})
	n.bus.Handle(mgevent.Leaving, func(e mgevent.Event) {
		n.configLoop.Leave()
	})
	n.pause.OnPause(func(gap mgclock.Millis) {
		n.publish(mgevent.Paused, n.settings.Name, strconv.FormatInt(int64(gap), 10))
	})
	n.admin.AddSection("events", func() any { return n.bus.Trace() })
}

// publishAdopted publishes the event that a new table has been adopted.
func (n *Node) publishAdopted(snapshot *mgconfig.Snapshot) {
	n.publish(mgevent.TableAdopted, strconv.FormatUint(snapshot.Version(), 10), snapshot.Digest())
}

func (n *Node) publish(kind mgevent.Kind, subject, detail string) {
	if err := n.bus.Publish(kind, subject, detail); err != nil {
		n.log.Error(err, "a control event was dropped", "event", string(kind))
	}
}

func (n *Node) runEvents(ctx context.Context) {
	if err := n.bus.Run(ctx); err != nil && ctx.Err() == nil {
		n.log.Error(err, "control events are not handled any more: restart the process")
	}
}
