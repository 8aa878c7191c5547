package mgnode

import (
	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// queueLogInterval is the minimum interval between two log lines about the
// same queue.
const queueLogInterval = mgclock.Second

// reportQueue reports the state of a placement queue and the capacity of its upstreams,
// from which placements are assigned: in gauges, and in the log once a second while at
// least two requests wait. The gauges keep the state of the last time that requests waited.
func (n *Node) reportQueue(now mgclock.Millis, service string, queue *placementQueue) {
	state := queue.waiting.State(now)
	free, pendingTokens := 0, 0
	for _, place := range queue.upstreams {
		free += place.Free
		pendingTokens += place.Pending
	}
	for name, value := range map[string]int{
		"room.waiting.": state.Waiting,
		"room.late.":    state.Late,
		"room.age.":     int(state.Age),
		"room.places.":  len(queue.upstreams),
		"room.free.":    free,
		"room.unread.":  pendingTokens,
	} {
		n.metrics.Gauge(name + service).Update(int64(value))
	}
	n.reportAdmission(now, service, queue)
	if state.Waiting < 2 || now < queue.loggedAt+queueLogInterval {
		return
	}
	queue.loggedAt = now
	admission, _ := queue.waiting.AdmissionState(now)
	n.log.Info("requests wait for placements", mglog.Service, service, "waiting", state.Waiting, "late", state.Late,
		"age", int64(state.Age), "places", len(queue.upstreams), "free", free, "unread", pendingTokens,
		"refused", admission.Refused, "error", int64(admission.Error))
}

// reportAdmission reports in gauges what a queue's admission goes by: capacities in thousandths of
// an upstream, the weight of memory in percent, and the error of expected starts in ms.
func (n *Node) reportAdmission(now mgclock.Millis, service string, queue *placementQueue) {
	state, enabled := queue.waiting.AdmissionState(now)
	if !enabled {
		return
	}
	for name, value := range map[string]int64{
		"room.offered.": int64(1000 * state.Offered),
		"room.served.":  int64(1000 * state.Served),
		"room.memory.":  int64(100 * state.Memory),
		"room.error.":   int64(state.Error),
		"room.refused.": int64(state.Refused),
	} {
		n.metrics.Gauge(name + service).Update(value)
	}
}
