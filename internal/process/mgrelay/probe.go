package mgrelay

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// probeSpan is the interval at which upstreams are asked whether they leave
	// while the list may be stale. A notice is one to two seconds long, and a
	// move takes 200 ms and more.
	probeSpan = 250 * mgclock.Millis(1)
	// probeWait bounds one answer.
	probeWait = 150 * mgclock.Millis(1)
)

// ask asks the upstreams with runs whether they leave, while the list may be
// stale, until ctx ends. An engine is reclaimed while the platform is down, and
// without its own word its generations are cut.
func (y *Relay) ask(ctx context.Context) {
	if y.spec.Probe == nil {
		return
	}
	for y.spec.Clock.Sleep(ctx, probeSpan) {
		if !y.spec.Stale() {
			continue
		}
		for _, host := range y.runs.hosts() {
			go y.probe(ctx, host)
		}
	}
}

func (y *Relay) probe(ctx context.Context, host Host) {
	ctx, cancel := context.WithTimeout(ctx, probeWait.Duration())
	defer cancel()
	y.spec.Metrics.Counter("relay.probes").Inc(1)
	leaving, err := y.spec.Probe(ctx, host)
	if err != nil || !leaving {
		// A lost answer says nothing; the next one comes in probeSpan.
		return
	}
	y.spec.Log.Info("an upstream says that it leaves, which the list doesn't show", mglog.Upstream, host.Name)
	y.spec.Departed(host.Name)
}
