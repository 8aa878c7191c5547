package mgnode

import (
	"context"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglag"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// measureWaits measures how long events wait for this process, until ctx ends.
func (n *Node) measureWaits(ctx context.Context) error {
	meter, err := mglag.New(n.clock, n.observeWait)
	if err != nil {
		return err
	}
	n.waits.Store(meter)
	n.admin.AddSection("waits", func() any { return meter.State() })
	context.AfterFunc(ctx, func() { _ = meter.Close() }) // fails only on a closed meter
	return nil
}

// observeWait records the wait of an event.
func (n *Node) observeWait(now, wait mgclock.Millis) {
	n.gate.Observe(now, wait)
	n.metrics.Histogram("events.wait").Update(int64(wait))
}

// measured returns a handler that measures the wait of events while requests arrive.
func (n *Node) measured(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.waits.Load().Probe()
		next.ServeHTTP(w, r)
	})
}

// admitsConnection reports whether the processor bears one more connection.
func (n *Node) admitsConnection() bool {
	return n.gate.Admits(n.clock.Now(), n.waits.Load().Probe())
}
