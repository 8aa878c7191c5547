package mgnode

import (
	"context"
	"fmt"
	"time"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglink"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgpeer"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgentry"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgshare"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

// RunEntry runs an entry until stop ends, then drains it; hurry cuts the drain
// short.
func RunEntry(stop, hurry context.Context, settings mgsettings.Entry, n *Node) error {
	return n.run(stop, hurry, func(ctx context.Context) (Stop, error) { return n.openEntry(ctx, settings) })
}

// openEntry begins to serve callers, and returns how that is stopped.
func (n *Node) openEntry(ctx context.Context, settings mgsettings.Entry) (Stop, error) {
	public, err := listenPublic(settings)
	if err != nil {
		return Stop{}, err
	}
	shares := mgshare.NewLoop(n.sharesSpec(settings.Fresh))
	n.shares.Store(shares)
	n.pause.On(func(mgclock.Millis) { shares.Drop() })
	n.servers.Go(func() { shares.Run(ctx) })
	entry := mgentry.New(n.entrySpec(settings, shares), n.incarnation)
	places := entry.Places
	n.places.Store(&places)
	n.admin.Source("entry", func() any { return entry.State() })
	n.admin.Source("shares", func() any { return shares.Status() })
	n.servers.Go(func() { entry.Run(ctx) })
	n.servers.Go(func() { n.notes.spread(ctx) })
	n.servers.Go(func() { n.notes.compare(ctx) })
	n.servers.Go(func() { n.watchHeld(ctx) })
	if n.form != nil {
		n.servers.Go(func() { n.tellLoads(ctx, entry.Load()) })
	}
	if settings.Retry > 0 {
		n.servers.Go(func() { n.boundRetries(ctx, int(settings.Retry), entry.BoundRetries) })
	}
	n.Serve(ctx, ServerSpec{
		Name:     "callers",
		Listener: public,
		Handler:  entry.Routes(),
		Linger:   n.linger,
		Head:     int(settings.Head),
		Slow:     mgclock.Millis(settings.Slow),
	})
	stop := n.Stop(entry.Leave, entry.Busy)
	unready := stop.Unready
	stop.Unready = func() {
		entry.Stopping(n.clock.Now() + stop.Longest)
		unready()
	}
	return stop, nil
}

func (n *Node) entrySpec(settings mgsettings.Entry, shares *mgshare.Loop) mgentry.Spec {
	return mgentry.Spec{
		Settings:   settings,
		Clock:      n.clock,
		Log:        n.log,
		Metrics:    n.metrics,
		Seal:       n.seal,
		Quarantine: n.quarantine,
		Table:      n.Table,
		Certain:    n.loop.Certain,
		Seen:       n.Seen,
		View:       n.members.View,
		Failed:     n.failed,
		Heard:      n.heard,
		Acquire:    shares.Acquire,
		Running:    shares.Running,
		Calls: &mglink.Guard{
			Pooled:   n.calls,
			Again:    n.guard.Transport(true),
			Clock:    n.clock,
			Interval: mgclock.Millis(settings.Beat),
		},
		Frames:    n.guard.Transport(true),
		Base:      n.guard.Base,
		Relay:     n.relaySpec(),
		Answered:  n.answered,
		Changed:   n.members.Changed,
		Others:    n.Others,
		Elsewhere: n.elsewhere,
		Stale:     n.loop.Stale,
		Left:      n.left,
	}
}

// upstreamSilence ends a connection to an upstream whose kernel has given no
// sign of life for so long. Callers leave a stream after seven seconds without
// an event, and a partition that heals before should cost them a pause only. The
// kernel counts in whole seconds: three spans of three seconds.
const upstreamSilence = 9 * time.Second

// boundRetries keeps this entry's part of the retries that all entries may make,
// by how many of them are known, until ctx ends.
func (n *Node) boundRetries(ctx context.Context, allowed int, bound func(limit int)) {
	for ok := true; ok; ok = n.clock.Sleep(ctx, mgclock.Second) {
		bound(mgretry.Share(allowed, 1+len(n.entries())))
	}
}

// elsewhere reports whether at least half of the other entries stay. Callers
// that come back reach any of them; where most are stopping, too, an answer that
// may be cut is worth more than a second refusal.
func (n *Node) elsewhere() bool {
	entries, stay := n.entries(), 0
	for _, entry := range entries {
		if !entry.Leaving() {
			stay++
		}
	}
	return len(entries) > 0 && 2*stay >= len(entries)
}

// relaySpec returns how requests are passed through, or nil when none are.
func (n *Node) relaySpec() *mgrelay.Spec {
	if n.form == nil {
		return nil
	}
	return &mgrelay.Spec{
		Form:    *n.form,
		Basis:   n.basis,
		Move:    n.move,
		Probe:   n.probe,
		Place:   n.place,
		Turn:    n.turn,
		EndTurn: n.endTurn,
		Refuses: mgdial.Refuses,
		Limits:  &n.limits,
		Permit:  n.permit,
		Client:  mgdial.NewClientWith(mgdial.Near(upstreamSilence)),
	}
}

// listenPublic opens the callers' listener, with TLS where it is set.
func listenPublic(settings mgsettings.Entry) (*mglistener.Listener, error) {
	identity, err := mgpeer.Public(files(settings.Public))
	if err != nil {
		return nil, err
	}
	public, err := mglistener.Listen(settings.Listen, identity)
	if err != nil {
		return nil, fmt.Errorf("key listen: can't listen on %s: give a free IP and port of this VM: %w", settings.Listen, err)
	}
	return public, nil
}
