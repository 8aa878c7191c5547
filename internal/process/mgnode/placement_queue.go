package mgnode

import (
	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// lineSpan is the least interval between two log lines that tell of one line.
const waitingListLogInterval = mgclock.Second

// tellLine tells in gauges, and in the log once a second while requests wait, what
// a line is given its places by. The gauges are those of the last look at it.
func (n *Node) reportQueue(now mgclock.Millis, service string, queue *placementQueue) {
	state := queue.waiting.State(now)
	free, unread := 0, 0
	for _, place := range queue.upstreams {
		free += place.Free
		unread += place.Pending
	}
	for name, value := range map[string]int{
		"room.waiting.": state.Waiting,
		"room.late.":    state.Late,
		"room.age.":     int(state.Age),
		"room.places.":  len(queue.upstreams),
		"room.free.":    free,
		"room.unread.":  unread,
	} {
		n.metrics.Gauge(name + service).Update(int64(value))
	}
	if state.Waiting < 2 || now < queue.loggedAt+waitingListLogInterval {
		return
	}
	queue.loggedAt = now
	n.log.Info("requests wait for places", mglog.Service, service, "waiting", state.Waiting, "late", state.Late,
		"age", int64(state.Age), "places", len(queue.upstreams), "free", free, "unread", unread)
}
