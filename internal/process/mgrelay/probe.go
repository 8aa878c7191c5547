package mgrelay

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// probeInterval is the interval at which upstreams are asked whether they leave
	// while the list may be stale. A notice is one to two seconds long, and a
	// move takes 200 ms and more.
	probeInterval = 250 * mgclock.Millis(1)
	// probeTimeout bounds one answer.
	probeTimeout = 150 * mgclock.Millis(1)
	// destinationProbeTimeout bounds the answer of a destination, for which a run waits: an
	// upstream answers in 3 ms, and one that is gone not at all.
	destinationProbeTimeout = 60 * mgclock.Millis(1)
	// outageStaleChecks is the looks in a row, probeSpan apart, at which the list is stale
	// before the platform counts as away: entries run out after three heartbeats, 3.6 s.
	// A watch that is late by a second says nothing of that kind, and an upstream that
	// is gone from the list then leaves, though some never say so.
	outageStaleChecks = 8
	// lapseWindow is how long after an outage an upstream that the list lacks may have
	// run out there only: the platform says that those that live are back within two
	// seconds of its return, which is noticed 0.25 s late.
	lapseWindow = 2500 * mgclock.Millis(1)
)

// probeWhileStale asks the upstreams with runs whether they leave, while the list may be
// stale, until ctx ends. An engine is reclaimed while the platform is down, and
// without its own word its generations are cut.
func (y *Relay) probeWhileStale(ctx context.Context) {
	if y.spec.Probe == nil {
		return
	}
	staleChecks := 0 // in a row at which the list was stale
	for y.spec.Clock.Sleep(ctx, probeInterval) {
		if !y.spec.Stale() {
			staleChecks = 0
			continue
		}
		staleChecks++
		if staleChecks >= outageStaleChecks {
			y.lastOutageAt.Store(int64(y.spec.Clock.Now()))
		}
		for _, host := range y.generations.hostsNotEvacuating() {
			go y.probe(ctx, host)
		}
	}
}

func (y *Relay) probe(ctx context.Context, host Host) {
	leaving, err := y.askLeaving(ctx, host, probeTimeout)
	if err != nil || !leaving {
		// A lost answer says nothing; the next one comes in probeSpan.
		return
	}
	y.recordDeparted(host)
}

// awaitReturn waits while an upstream that the list lacks may have run out there only,
// and reports whether the list has it again. Entries run out while the platform is
// away; moved at once, the runs of living engines would all go to the few that the list
// still has, and pause behind one another's copies. One that says that it leaves, or
// nothing, isn't waited for.
func (y *Relay) awaitReturn(ctx context.Context, host Host) bool {
	if y.spec.Missing == nil || y.spec.Probe == nil || y.lastOutageAt.Load() == 0 {
		return false
	}
	for y.spec.Clock.Now() < mgclock.Millis(y.lastOutageAt.Load())+lapseWindow && y.spec.Missing(host.Name) {
		if !y.confirmsStaying(ctx, host) || !y.spec.Clock.Sleep(ctx, probeInterval) {
			return false
		}
	}
	return !y.spec.Leaving(host.Name)
}

// confirmsStaying reports whether an upstream says that it stays.
func (y *Relay) confirmsStaying(ctx context.Context, host Host) bool {
	leaving, err := y.askLeaving(ctx, host, destinationProbeTimeout)
	return err == nil && !leaving
}

// canTakeOver reports whether an upstream can take a run over. While the list may be
// stale it is asked: one that is gone looks the emptiest of all, and its source
// tries to reach it for 1.2 s, which is most of a notice, before all others that
// wait for the source's link.
func (y *Relay) canTakeOver(ctx context.Context, host Host) bool {
	if y.spec.Probe == nil || !y.spec.Stale() {
		return true
	}
	leaving, err := y.askLeaving(ctx, host, destinationProbeTimeout)
	switch {
	case ctx.Err() != nil:
		return false // the run has ended meanwhile, which says nothing of the upstream
	case err != nil:
		y.spec.Log.Info("an upstream that the list shows gives no report, no run goes there",
			mglog.Upstream, host.Name, "why", err.Error())
		y.spec.Failed(host.Name)
		y.spec.Load.Fault(y.spec.Clock.Now(), host.Name)
		return false
	case leaving:
		y.recordDeparted(host)
		return false
	}
	return true
}

// askLeaving asks an upstream whether it leaves.
func (y *Relay) askLeaving(ctx context.Context, host Host, timeout mgclock.Millis) (leaving bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	y.spec.Metrics.Counter("relay.probes").Inc(1)
	return y.spec.Probe(ctx, host)
}

// recordDeparted tells of an upstream that says that it leaves.
func (y *Relay) recordDeparted(host Host) {
	y.spec.Log.Info("an upstream says that it leaves, which the list doesn't show", mglog.Upstream, host.Name)
	y.spec.Departed(host.Name)
}
